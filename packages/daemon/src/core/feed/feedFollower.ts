import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { FeedMessage } from '../../types/feedMessage.js'
import type { Logger } from '../operators/logger.js'
import type { ChangeFeed } from './changeFeed.js'
import { FeedConnection, type FeedConnectionObserver, type DisconnectReason } from './feedConnection.js'

const SOURCE_CHECK_INTERVAL_MS: Milliseconds = 500

/** Backoff after the first failure of a source; doubles with each consecutive failure, up to the maximum. */
const INITIAL_BACKOFF_MS: Milliseconds = 5000
const MAX_BACKOFF_MS: Milliseconds = 80_000

/** A source whose last read of the store is this much older than this VM's own is considered cut off from the store. */
const MAX_SOURCE_LAG_MS: Milliseconds = 2000

/** A VM that fails this often in a row, over at least two and a half minutes, is considered to have left the fleet. */
const MAX_CONSECUTIVE_FAILURES = 6

interface Outage {
  readonly retryAt: Milliseconds
  readonly failures: number
}

/** Options of the follower. */
export interface FeedFollowerOptions {
  readonly members: FleetMembers
  readonly feed: ChangeFeed
  readonly clock: Clock
  readonly logger: Logger
  /** Number of VMs that follow this one. */
  readonly followers: () => number
  /** Called when a member has been unreachable for so long that it is considered to have left. */
  readonly onUnreachable: (vmId: string) => void
}

/** Maintains the connections to this VM's sources, and decides whether this VM has to read the store itself. */
export class FeedFollower implements FeedConnectionObserver {
  private readonly connections = new Map<string, FeedConnection>()
  private readonly outages = new Map<string, Outage>()
  private timer: NodeJS.Timeout | undefined
  private isSource = true

  private constructor (private readonly options: FeedFollowerOptions) {}

  static create (options: FeedFollowerOptions): FeedFollower {
    return new FeedFollower(options)
  }

  /** Ids of the VMs that this one follows. */
  get sources (): readonly string[] {
    return [...this.connections.keys()]
  }

  start (): void {
    this.timer = setInterval(() => this.checkSources(), SOURCE_CHECK_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this.timer)
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  /** Adapts connections and role to the current members, their state and this VM's followers. */
  reconcile (): void {
    const { members, feed, followers } = this.options
    const isUp = (vmId: string): boolean => this.isUp(vmId)
    const desired = new Map(members.sourcesToFollow(isUp).map(member => [member.vmId, member]))
    for (const [vmId, { source }] of this.connections) {
      if (desired.get(vmId)?.feedAddress !== source.feedAddress) this.disconnect(vmId)
    }
    for (const [vmId, member] of desired) {
      if (!this.connections.has(vmId)) this.connections.set(vmId, FeedConnection.create(member, this))
    }
    this.updateRole(members.isSource(isUp))
    feed.setSource(this.isSource || followers() > 0)
  }

  onMessage ({ vmId }: FleetMember, message: FeedMessage): void {
    const { feed } = this.options
    this.outages.delete(vmId)
    if (message.kind === 'positions') return feed.receivePositions(vmId, message.tables)
    const records = message.records.map(({ key, value }) => ({ key, value: value === undefined ? undefined : Buffer.from(value, 'base64') }))
    feed.receiveChanges(message.table, { from: message.from, records })
  }

  onDisconnect ({ vmId }: FleetMember, reason: DisconnectReason): void {
    this.recordFailure(vmId, reason)
    this.reconcile()
  }

  private checkSources (): void {
    for (const vmId of this.connections.keys()) {
      if (this.isBehind(vmId)) this.recordFailure(vmId, 'behind')
    }
    this.reconcile()
  }

  /** Whether this VM reaches the store and the source does not. */
  private isBehind (vmId: string): boolean {
    const { feed } = this.options
    const ageMs = feed.ageOf(vmId, 'configuration')
    return ageMs !== Infinity && ageMs > feed.ownAgeMs('configuration') + MAX_SOURCE_LAG_MS
  }

  private recordFailure (vmId: string, reason: DisconnectReason | 'behind'): void {
    const { clock, logger, onUnreachable } = this.options
    const failures = (this.outages.get(vmId)?.failures ?? 0) + 1
    const downMs = Math.min(INITIAL_BACKOFF_MS * 2 ** (failures - 1), MAX_BACKOFF_MS)
    this.outages.set(vmId, { retryAt: clock.now() + downMs, failures })
    this.disconnect(vmId)
    logger.warn('source lost', { source: vmId, reason, failures, downMs })
    if (failures >= MAX_CONSECUTIVE_FAILURES && reason !== 'behind') onUnreachable(vmId)
  }

  private disconnect (vmId: string): void {
    this.connections.get(vmId)?.close()
    this.connections.delete(vmId)
    this.options.feed.removeSource(vmId)
  }

  private isUp (vmId: string): boolean {
    const outage = this.outages.get(vmId)
    return outage === undefined || outage.retryAt <= this.options.clock.now()
  }

  private updateRole (isSource: boolean): void {
    if (isSource === this.isSource) return
    this.isSource = isSource
    const { logger, members } = this.options
    logger.info('role in the fleet changed', { role: isSource ? 'source' : 'follower', vms: members.count, follows: this.sources })
  }
}
