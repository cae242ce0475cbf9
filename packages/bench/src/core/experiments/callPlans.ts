import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { Route, RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { CallKindName, CallPlan } from '../../types/experiments.js'

const LOOKUP_DEADLINE_MS = 1000
const ISSUE_DEADLINE_MS = 2000
const DOWNLOAD_DEADLINE_MS = 60_000
const DOWNLOAD_BYTES = 4 * 1_048_576

/** Host header of every call. */
export const HOST = 'fleet.example'

const REGISTER_ROUTE = { host: HOST, maxAttempts: 3, priority: 0, shares: [{ service: 'register', weight: 1 }] }

const ROUTES: readonly Route[] = [
  { ...REGISTER_ROUTE, name: 'look-up-permit', pathPrefix: '/permits/', kind: 'safe', timeoutMs: LOOKUP_DEADLINE_MS, targetMs: LOOKUP_DEADLINE_MS },
  { ...REGISTER_ROUTE, name: 'issue-permit', pathPrefix: '/issues/', kind: 'unsafe', timeoutMs: ISSUE_DEADLINE_MS, targetMs: ISSUE_DEADLINE_MS },
  {
    ...REGISTER_ROUTE, name: 'download-map', pathPrefix: '/download/', kind: 'download', timeoutMs: DOWNLOAD_DEADLINE_MS, targetMs: DOWNLOAD_DEADLINE_MS,
    shares: [{ service: 'maps', weight: 1 }]
  }
]

/** Route configuration that the experiments publish. */
export const EXPERIMENT_ROUTES: RouteConfig = {
  version: 1,
  routes: ROUTES,
  services: new Map(['register', 'maps'].map(name => [name, { name, healthPath: '/health', maxConnections: 250 }])),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

/** Creates the request of call number `index`; `downloadPauseMs` applies to downloads only. */
export function planCall (kind: CallKindName, index: number, downloadPauseMs: number): CallPlan {
  if (kind === 'download') {
    const path = `/download/?bytes=${DOWNLOAD_BYTES}&pauseMs=${downloadPauseMs}`
    return { kind, method: 'GET', path, body: undefined, bytes: DOWNLOAD_BYTES, deadlineMs: DOWNLOAD_DEADLINE_MS }
  }
  if (kind === 'issue') return { kind, method: 'POST', path: `/issues/${index}`, body: `{"permit":${index}}`, bytes: 0, deadlineMs: ISSUE_DEADLINE_MS }
  return { kind, method: 'GET', path: `/permits/${index}`, body: undefined, bytes: 0, deadlineMs: LOOKUP_DEADLINE_MS }
}

/** Draws the kind of a call: an issue with probability `issueShare`, otherwise a lookup. */
export function drawKind (random: RandomSource, issueShare: number): CallKindName {
  return random.next() < issueShare ? 'issue' : 'lookup'
}
