import type { Milliseconds } from './clock.js'
import type { RandomSource } from './randomSource.js'
import type { RequestKind } from './requestKind.js'
import type { RoutingPolicy } from './routingPolicy.js'
import type { LoadReport, Upstream } from './upstream.js'

/** What this VM knows of one upstream; owned by the dispatcher, read by pickers. */
export interface UpstreamView {
  readonly upstream: Upstream
  /** Attempts of this VM under way. */
  readonly inFlight: number
  /** Slots as last reported or listed; undefined where neither says. */
  readonly slots: number | undefined
  /** The newest load report, if any arrived. */
  readonly report: LoadReport | undefined
  /** Attempts of this VM under way when that report was received. */
  readonly inFlightAtReport: number
  /** From 0 to 1: how far this upstream's reports agree with this VM's own observations; 1 where absent. */
  readonly reportTrust?: number
  /** Learned time that one request occupies a slot, normalised by kind; undefined before the first answer. */
  readonly serviceTimeMs: Milliseconds | undefined
  /** Share of recent attempts that failed, from 0 to 1. */
  readonly errorShare: number
  /** From 0 to 1; below 1 while an upstream is new or was readmitted lately. */
  readonly warmth: number
  /** Slots that fall to this VM when all slots of the service are divided among the live entry VMs; undefined where slots are unknown. */
  readonly slotShare?: number | undefined
  /** Whether the upstream has left a probe unanswered for longer than an answer takes. */
  readonly isUnresponsive?: boolean
}

/** Circumstances of one choice. */
export interface PickContext {
  readonly now: Milliseconds
  readonly random: RandomSource
  readonly kind: RequestKind
  /** Number of live entry VMs, this one included. */
  readonly entryCount: number
  /** Position of this VM in the sorted list of live entry VMs, from 0. */
  readonly entryRank: number
  /** Failure domains to avoid where another has room; filled for retries and hedges. */
  readonly avoidDomains: ReadonlySet<string>
  /** Failure domain of this VM; undefined where domains are all alike. */
  readonly ownDomain?: string | undefined
  /** Mean size of the kind's answers. */
  readonly answerBytes?: number
  /** How long calls have been waiting in this VM's queue without a break; 0 where none waits. */
  readonly backlogMs?: Milliseconds
}

/** A policy that chooses an upstream for an attempt. */
export interface Picker {
  /** Receives the numbers in force; pickers without numbers do not implement it. */
  setPolicy? (policy: RoutingPolicy): void
  /** Returns one of `candidates`, or undefined where the call should wait instead. */
  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined
  /** The best `count` of `candidates`, best first; pickers that cannot tell do not implement it. */
  rank? (candidates: readonly UpstreamView[], context: PickContext, count: number): readonly UpstreamView[]
  /** Upstreams to probe now for their load; pickers that live on answers alone do not implement it. */
  takeProbeTargets? (candidates: readonly UpstreamView[], context: PickContext): readonly string[]
  /** Receives the report that a probe brought. */
  onProbeReport? (upstreamId: string, report: LoadReport): void
}
