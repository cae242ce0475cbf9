import type { LoadKind, ServiceShape } from '../../types/decisions.js'

/** Service shapes from the design page: two services for each of its two users. */
export const SHAPES: readonly ServiceShape[] = [
  { name: 'permits-30x4', upstreams: 30, slots: 4, failureDomains: 3 },
  { name: 'maps-6x4', upstreams: 6, slots: 4, failureDomains: 3 },
  { name: 'glossary-30x3', upstreams: 30, slots: 3, failureDomains: 4 },
  { name: 'export-8x3', upstreams: 8, slots: 3, failureDomains: 4 }
]

/** Kinds of calls, with their share of all calls and their mean work. */
export const LOAD_MIX: readonly LoadKind[] = [
  {
    kind: { name: 'lookup', weight: 1, idempotent: true, deadlineMs: 60, cancellable: true, hedgeable: true },
    share: 0.8,
    meanWorkMs: 6
  },
  {
    kind: { name: 'download', weight: 2, idempotent: true, deadlineMs: 300, cancellable: true, hedgeable: true },
    share: 0.08,
    meanWorkMs: 20
  },
  {
    kind: { name: 'issue', weight: 5, idempotent: false, deadlineMs: 150, cancellable: false, hedgeable: false },
    share: 0.12,
    meanWorkMs: 9
  }
]

/** Mean work of a call over all kinds. */
export const MEAN_WORK_MS = LOAD_MIX.reduce((sum, load) => sum + load.share * load.meanWorkMs, 0)

/** Sigma of the log-normal distribution of work within one kind. */
export const WORK_SIGMA = 0.5

/** Share of attempts that take several times as long as planned. Drawn independently for each attempt of a call. */
export const SLOW_ATTEMPT_SHARE = 0.005
export const SLOW_ATTEMPT_MIN_FACTOR = 4
export const SLOW_ATTEMPT_MAX_FACTOR = 10
