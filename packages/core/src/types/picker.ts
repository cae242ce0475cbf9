import type { Milliseconds } from './clock.js'
import type { RandomSource } from './randomSource.js'
import type { RequestKind } from './requestKind.js'
import type { RoutingPolicy } from './routingPolicy.js'
import type { LoadReport, Upstream } from './upstream.js'

/** What this VM knows about one upstream; maintained by the dispatcher, read by pickers. */
export interface UpstreamView {
  readonly upstream: Upstream
  /** Attempts of this VM in flight. */
  readonly inFlight: number
  /** Usable slots, by the last report or the control store; undefined if neither states them. */
  readonly slots: number | undefined
  /** All slots, the unused ones included; as `slots` by default. */
  readonly allSlots?: number | undefined
  /** The newest load report, if any arrived. */
  readonly report: LoadReport | undefined
  /** Attempts of this VM in flight when that report was received. */
  readonly inFlightAtReport: number
  /** From 0 to 1: how far this upstream's reports agree with this VM's own observations; defaults to 1. */
  readonly reportTrust?: number
  /** Estimated time that one request occupies a slot, normalised by kind; undefined before the first response. */
  readonly serviceTimeMs: Milliseconds | undefined
  /** Share of recent attempts that failed, from 0 to 1. */
  readonly errorShare: number
  /** From 0 to 1; below 1 during the slow start of a new or readmitted upstream. */
  readonly warmth: number
  /** This VM's share of the slots when they are divided among the live entry VMs; undefined if slots are unknown. */
  readonly slotShare?: number | undefined
  /** Whether the upstream has not responded to a probe within the time limit. */
  readonly isUnresponsive?: boolean
}

/** Inputs to one choice, besides the candidates. */
export interface PickContext {
  readonly now: Milliseconds
  readonly random: RandomSource
  readonly kind: RequestKind
  /** Number of live entry VMs, this one included. */
  readonly entryCount: number
  /** Attempts of this VM in flight at all upstreams of the service, whether candidates or not. */
  readonly runningAttempts: number
  /** Position of this VM in the sorted list of live entry VMs, from 0. */
  readonly entryRank: number
  /** Failure domains to avoid while another one has room; those of earlier attempts of the call. */
  readonly avoidedDomains: ReadonlySet<string>
  /** Failure domain of this VM; undefined if failure domains do not matter. */
  readonly ownDomain?: string | undefined
  /** Mean size of the kind's responses. */
  readonly responseBytes?: number
  /** How long this VM's queue has been non-empty; 0 if no call waits. */
  readonly backlogMs?: Milliseconds
}

/** An algorithm that chooses an upstream for an attempt. */
export interface Picker {
  /** Sets the policy in force; not implemented by pickers without settings. */
  setPolicy? (policy: RoutingPolicy): void
  /** Returns one of `candidates`, or undefined if the call should wait instead. */
  pick (candidates: readonly UpstreamView[], context: PickContext): UpstreamView | undefined
  /** The best `count` of `candidates`, best first; not implemented by pickers without an order of preference. */
  rank? (candidates: readonly UpstreamView[], context: PickContext, count: number): readonly UpstreamView[]
  /** Ids of upstreams to probe now for their load; not implemented by pickers that rely on regular responses alone. */
  selectProbeTargets? (candidates: readonly UpstreamView[], context: PickContext): readonly string[]
  /** Receives a load report obtained by a probe. */
  onProbeReport? (upstreamId: string, report: LoadReport): void
}
