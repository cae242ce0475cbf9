import type { AppliedChange, ConfigSnapshot } from '@cowsliplead/core/types/configRecords.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ExchangeMessage } from '@cowsliplead/core/types/exchange.js'
import type { CollectAnswer, WitnessAnswer } from '@cowsliplead/core/types/keyedCall.js'
import type { VmState } from '@cowsliplead/core/types/upstream.js'
import type {
  CollectMessage, HandoverMessage, KeyedResultMessage, PeerTable, RunKeyedMessage, WitnessMessage
} from './peerMessages.js'
import type { ChangeRequest, PublishResult } from '../core/control/publisher.js'
import type { ComponentState } from '../core/supervision/supervisor.js'

/** What one entry VM says of its configuration. */
export interface VmRevision {
  readonly vmId: string
  readonly failureDomain: string
  readonly state: VmState
  /** The revision in force as the VM itself said; undefined where it did not answer. */
  readonly revision: number | undefined
  /** Why there is no revision. */
  readonly problem: string | undefined
}

/** Which revision is in force where. */
export interface InForce {
  /** The highest revision that any VM reported. */
  readonly newestRevision: number
  readonly vms: readonly VmRevision[]
  /** Live VMs that do not have the newest revision in force, or did not answer. */
  readonly lagging: readonly string[]
}

/** Short state of one daemon. */
export interface DaemonStatus {
  readonly vmId: string
  readonly failureDomain: string
  readonly region: string
  readonly ready: boolean
  /** Why the daemon is not ready. */
  readonly reasons: readonly string[]
  readonly revision: number
  readonly logAvailable: boolean
  readonly vmListAgeMs: Milliseconds | undefined
  readonly liveEntryVms: readonly string[]
  /** Other VMs that answer this one. */
  readonly livePeers: readonly string[]
  readonly callsInFlight: number
  /** Partitions of idempotency keys that the VM owns. */
  readonly ownedPartitions: number
  /** Owned partitions in which new keys can run. */
  readonly openPartitions: number
  readonly components: readonly ComponentState[]
}

/** A peer's configuration. */
export interface PeerConfig {
  readonly vmId: string
  readonly revision: number
  /** Whether the VM read the log to its end and lacks records that verdicts depend on. */
  readonly isStuck: boolean
  /** Present where the revision is higher than the asking VM's. */
  readonly snapshot: ConfigSnapshot | undefined
}

/** The operations of the private port, as the router calls them. */
export interface PrivateApi {
  publish (change: ChangeRequest): Promise<PublishResult>
  inForce (): Promise<InForce>
  /** The newest applied changes, newest first. */
  history (limit: number): readonly AppliedChange[]
  status (): DaemonStatus
  /** The complete state, as JSON. */
  dump (): Record<string, unknown>
  configState (newerThan: number): PeerConfig
  readonly peer: PeerApi
}

/** The operations between daemons beside the configuration. */
export interface PeerApi {
  exchange (message: ExchangeMessage): ExchangeMessage
  ownershipTable (): PeerTable
  runKeyed (message: RunKeyedMessage): Promise<KeyedResultMessage>
  witness (message: WitnessMessage): WitnessAnswer | null
  witnessedClaims (message: CollectMessage): CollectAnswer | null
  receiveHandover (message: HandoverMessage): void
}
