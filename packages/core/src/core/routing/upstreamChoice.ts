import type { Milliseconds } from '../../types/clock.js'
import type { AttemptPurpose } from '../../types/dispatch.js'
import type { PickContext, UpstreamView } from '../../types/picker.js'
import type { CallState } from '../dispatch/callState.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'

/** The upstream chosen for the next attempt of a call. */
export interface UpstreamChoice {
  readonly state: UpstreamState
  /** True if the upstream is ejected and this call tests whether it works again. */
  readonly isTrial: boolean
}

/** Chooses the upstream for the next attempt of a call; undefined if the call should wait. */
export function chooseUpstream (context: RoutingContext, state: CallState, purpose: AttemptPurpose): UpstreamChoice | undefined {
  const now = context.clock.now()
  for (const upstream of context.table.inUse()) refreshEstimates(context, upstream, now)
  const trial = findTrialUpstream(context, state, purpose, now)
  if (trial !== undefined) return { state: trial, isTrial: true }
  const candidates = candidatesFor(context, state, now)
  if (candidates.length === 0) return undefined
  const pickContext = createPickContext(context, state, now)
  const picked = context.picker.pick(candidates, pickContext)
  sendProbes(context, candidates, pickContext)
  const target = candidates.find(candidate => candidate === picked)
  return target === undefined ? undefined : { state: target, isTrial: false }
}

/**
 * Finds an upstream that joined and has received no call although it is warm by now. While other upstreams always have
 * free slots, it would never be chosen, and whether it works would stay unknown.
 */
export function findUnusedUpstream (context: RoutingContext, state: CallState): UpstreamState | undefined {
  const now = context.clock.now()
  return context.table.candidates(now, state.triedUpstreams).find(({ attempts, warmth, slowStartedAt, upstream }) =>
    attempts === 0 && warmth >= 1 && slowStartedAt !== -Infinity && now >= (upstream.warmAt ?? 0))
}

/** Ranks the upstreams for a call by what is known now and returns the best `count`, best first. */
export function rankUpstreams (context: RoutingContext, state: CallState, count: number): readonly UpstreamView[] {
  const now = context.clock.now()
  const candidates = candidatesFor(context, state, now)
  return context.picker.rank?.(candidates, createPickContext(context, state, now), count) ?? []
}

/** Upstreams that accept new work and are not reserved for more urgent calls. */
function candidatesFor ({ table, reservation }: RoutingContext, state: CallState, now: Milliseconds): UpstreamState[] {
  const candidates = table.candidates(now, state.triedUpstreams)
  return reservation.openTo(state.call.kind, candidates, () => table.working(now), now)
}

function refreshEstimates (context: RoutingContext, upstream: UpstreamState, now: Milliseconds): void {
  upstream.isUnresponsive = upstream.probeSentAt !== undefined && now - upstream.probeSentAt > context.policy.probeWaitMs
  context.serviceTimes.refreshServiceTime(upstream, now)
  context.outliers.refresh(upstream, now)
}

/** An ejected upstream due for a trial. Only first attempts of idempotent calls that could be retried at once are trials. */
function findTrialUpstream (context: RoutingContext, state: CallState, purpose: AttemptPurpose, now: Milliseconds): UpstreamState | undefined {
  const { kind, replayable, fingerprint } = state.call
  if (purpose !== 'first' || !kind.idempotent || !replayable || !context.retryBudget.canRetry()) return undefined
  if (context.suspects.verdict(fingerprint, now) !== 'clear') return undefined
  return context.outliers.findDueForTrial(now)
}

function createPickContext (context: RoutingContext, state: CallState, now: Milliseconds): PickContext {
  return {
    now,
    random: context.options.random,
    kind: state.call.kind,
    runningAttempts: context.table.countInFlight(),
    entryCount: context.entryCount,
    entryRank: context.entryRank,
    avoidedDomains: state.triedDomains,
    ownDomain: context.options.failureDomain,
    responseBytes: context.serviceTimes.responseBytesOf(state.call.kind),
    backlogMs: context.queue.backlogMs(now)
  }
}

function sendProbes (context: RoutingContext, candidates: readonly UpstreamState[], pickContext: PickContext): void {
  const probed = candidates.filter(({ rateLimit }) => !rateLimit.isLimited(pickContext.now))
  const targets = context.picker.selectProbeTargets?.(probed, pickContext) ?? []
  for (const upstreamId of targets) {
    if (!context.probeBudget.trySpend(context.policy.probeBytes, pickContext.now)) return
    context.counters.probes += 1
    context.table.get(upstreamId)?.rateLimit.onProbe()
    context.port.sendProbe?.(upstreamId)
  }
}
