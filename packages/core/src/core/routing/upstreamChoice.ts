import type { Milliseconds } from '../../types/clock.js'
import type { AttemptPurpose } from '../../types/dispatch.js'
import type { PickContext, UpstreamView } from '../../types/picker.js'
import type { CallState } from '../dispatch/callState.js'
import type { RoutingContext } from '../dispatch/routingContext.js'
import type { UpstreamState } from '../health/upstreamState.js'

/** The upstream for the next attempt of a call. */
export interface Choice {
  readonly state: UpstreamState
  /** True where the upstream is ejected and this call tries whether it works again. */
  readonly isTrial: boolean
}

/** Chooses an upstream, or none where the call should wait. */
export function chooseUpstream (context: RoutingContext, state: CallState, purpose: AttemptPurpose): Choice | undefined {
  const now = context.clock.now()
  for (const upstream of context.table.all()) refresh(context, upstream, now)
  const trial = trialFor(context, state, purpose, now)
  if (trial !== undefined) return { state: trial, isTrial: true }
  const candidates = context.table.candidates(now, state.triedUpstreams)
  if (candidates.length === 0) return undefined
  const pickContext = pickContextFor(context, state, now)
  const chosen = context.picker.pick(candidates, pickContext)
  sendProbes(context, candidates, pickContext)
  const target = candidates.find(candidate => candidate === chosen)
  return target === undefined ? undefined : { state: target, isTrial: false }
}

/**
 * An upstream that joined and got no call until it was warm. Where others are always free, nobody would find out that it
 * works.
 */
export function findUnusedUpstream (context: RoutingContext, state: CallState): UpstreamState | undefined {
  const now = context.clock.now()
  return context.table.candidates(now, state.triedUpstreams).find(({ attempts, warmth, warmSince, upstream }) =>
    attempts === 0 && warmth >= 1 && warmSince !== -Infinity && now >= (upstream.warmAt ?? 0))
}

/** The best upstreams for a call by what is known now, best first. */
export function rankUpstreams (context: RoutingContext, state: CallState, count: number): readonly UpstreamView[] {
  const now = context.clock.now()
  const candidates = context.table.candidates(now, state.triedUpstreams)
  return context.picker.rank?.(candidates, pickContextFor(context, state, now), count) ?? []
}

function refresh (context: RoutingContext, upstream: UpstreamState, now: Milliseconds): void {
  upstream.isUnresponsive = upstream.probeSentAt !== undefined && now - upstream.probeSentAt > context.policy.probeWaitMs
  context.model.refresh(upstream, now)
  context.outliers.refresh(upstream, now)
}

/** Trials use first attempts of idempotent calls that could be retried at once. */
function trialFor (context: RoutingContext, state: CallState, purpose: AttemptPurpose, now: Milliseconds): UpstreamState | undefined {
  const { kind, replayable, fingerprint } = state.call
  if (purpose !== 'first' || !kind.idempotent || !replayable || !context.budget.canRetry()) return undefined
  if (context.suspects.verdict(fingerprint, now) !== 'clear') return undefined
  return context.outliers.dueForTrial(now)
}

function pickContextFor (context: RoutingContext, state: CallState, now: Milliseconds): PickContext {
  return {
    now,
    random: context.options.random,
    kind: state.call.kind,
    entryCount: context.entryCount,
    entryRank: context.entryRank,
    avoidDomains: state.triedDomains,
    ownDomain: context.options.failureDomain,
    answerBytes: context.model.answerBytesOf(state.call.kind),
    backlogMs: context.queue.backlogMs(now)
  }
}

function sendProbes (context: RoutingContext, candidates: readonly UpstreamState[], pickContext: PickContext): void {
  const targets = context.picker.takeProbeTargets?.(candidates, pickContext) ?? []
  for (const upstreamId of targets) {
    if (!context.measuring.trySpend(context.policy.probeBytes, pickContext.now)) return
    context.counters.probes += 1
    context.port.sendProbe?.(upstreamId)
  }
}
