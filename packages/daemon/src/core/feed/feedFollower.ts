import type { FleetMembers, LivenessCheck } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { FleetMember, FleetRole } from '@cowsliplead/core/types/fleetMember.js'
import type { FeedMessage, FeedRequest } from '../../types/feedMessage.js'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { TableCopy } from '../../types/feedTable.js'
import type { Logger } from '../operators/logger.js'
import type { ChangeFeed } from './changeFeed.js'
import type { ConfirmationExchange } from './confirmationExchange.js'
import { AdditionalSources } from './additionalSources.js'
import { FeedConnection, type FeedConnectionObserver, type DisconnectReason } from './feedConnection.js'
import { decodeFeedRecords } from './feedRecords.js'
import type { LeavingNotices } from './leavingNotices.js'

const CHECK_INTERVAL_MS: Milliseconds = 500

/** Backoff after the first failure of a followed VM; doubles with each consecutive failure, up to the maximum. */
const INITIAL_BACKOFF_MS: Milliseconds = 5000
const MAX_BACKOFF_MS: Milliseconds = 80_000

/** A followed VM whose last known read of the store is this much older than this VM's own is considered cut off. */
const MAX_LAG_MS: Milliseconds = 2000

/** A VM that cannot be reached this often in a row, over at least two and a half minutes, is considered to have left. */
const MAX_CONSECUTIVE_DISCONNECTS = 6

interface Outage {
  readonly retryAt: Milliseconds
  readonly failures: number
  /** Failures in which the VM could not be reached; one that is only behind has not left. */
  readonly disconnects: number
}

/** Options of the follower. */
export interface FeedFollowerOptions {
  readonly vmId: string
  /** Undefined if the age of the configuration is not limited. */
  readonly confirmations?: ConfirmationExchange | undefined
  readonly members: FleetMembers
  readonly feed: ChangeFeed
  readonly clock: Clock
  readonly logger: Logger
  /** Receives the notices of leaving upstreams. */
  readonly leaving?: LeavingNotices
  /** Called when a member has been unreachable for so long that it is considered to have left. */
  readonly onUnreachable: (vmId: string) => void
}

/** Maintains this VM's role in the fleet and the connections to the VMs that it follows. */
export class FeedFollower implements FeedConnectionObserver {
  private readonly connections = new Map<string, FeedConnection>()
  private readonly outages = new Map<string, Outage>()
  private readonly additionalSources = AdditionalSources.create(SeededRandom.create(process.pid ^ Date.now()))
  /** Messages received since the start. */
  received = 0
  private timer: NodeJS.Timeout | undefined
  private currentRole: FleetRole | undefined

  private constructor (private readonly options: FeedFollowerOptions) {}

  static create (options: FeedFollowerOptions): FeedFollower {
    return new FeedFollower(options)
  }

  /** This VM's role; undefined until it is registered. */
  get role (): FleetRole | undefined {
    return this.currentRole
  }

  /** Ids of the VMs that this one follows. */
  get followed (): readonly string[] {
    return [...this.connections.keys()]
  }

  start (): void {
    this.timer = setInterval(() => this.checkFollowed(), CHECK_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this.timer)
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  /** Adapts the role and the connections to the current members and their state. */
  reconcile (): void {
    const { members } = this.options
    const isUp = (vmId: string): boolean => this.isUp(vmId)
    const desired = new Map(this.membersToFollow(isUp).map(member => [member.vmId, member]))
    for (const [vmId, { followed }] of this.connections) {
      if (desired.get(vmId)?.feedAddress !== followed.feedAddress) this.disconnect(vmId)
    }
    for (const [vmId, member] of desired) {
      if (!this.connections.has(vmId)) this.connections.set(vmId, FeedConnection.create(member, this))
    }
    this.updateRole(members.role(isUp))
  }

  /** Forgets the backoff of VMs that could not be reached: this VM has been cut off and is no longer. */
  retryLost (): void {
    const now = this.options.clock.now()
    for (const [vmId, outage] of this.outages) this.outages.set(vmId, { ...outage, retryAt: Math.min(outage.retryAt, now) })
    this.reconcile()
  }

  requests ({ vmId }: FleetMember): FeedRequest[] {
    const { feed, confirmations } = this.options
    const tables = feed.neededCopies(vmId)
    const requests: FeedRequest[] = tables.length === 0 ? [] : [{ kind: 'copies', tables }]
    return confirmations === undefined ? requests : [...requests, confirmations.request()]
  }

  onMessage ({ vmId }: FleetMember, message: FeedMessage): void {
    this.received += 1
    this.outages.delete(vmId)
    this.deliver(vmId, message)
  }

  onDisconnect ({ vmId }: FleetMember, reason: DisconnectReason): void {
    this.recordFailure(vmId, reason)
    this.reconcile()
  }

  private deliver (vmId: string, message: FeedMessage): void {
    const { feed } = this.options
    switch (message.kind) {
      case 'positions':
        this.options.leaving?.receive(vmId, message.leaving ?? [])
        return feed.receivePositions(vmId, message.tables)
      case 'changes': return feed.receiveChanges(message.table, { epoch: message.epoch, from: message.from, records: decodeFeedRecords(message.records) })
      case 'copy': return this.receiveCopy(vmId, message)
      case 'confirmed': return this.options.confirmations?.receive(message)
      case 'declined': return feed.receiveDecline(message.table)
    }
  }

  private receiveCopy (vmId: string, message: Extract<FeedMessage, { kind: 'copy' }>): void {
    this.options.feed.receiveCopy(message.table, decodeCopy(message))
    if (this.options.confirmations !== undefined) this.connections.get(vmId)?.sendRequests()
  }

  private checkFollowed (): void {
    for (const vmId of this.connections.keys()) {
      if (this.isBehind(vmId)) this.recordFailure(vmId, 'behind')
    }
    this.reconcile()
    for (const connection of this.connections.values()) connection.sendRequests()
    this.options.confirmations?.age.isConfirmed()
  }

  /** The VMs that this one follows by its role, and further ones while its tables are too old. */
  private membersToFollow (isUp: LivenessCheck): FleetMember[] {
    const { members, clock } = this.options
    const followed = members.membersToFollow(isUp)
    const others = members.list().map(({ vmId }) => vmId).filter(vmId => vmId !== this.options.vmId && isUp(vmId) && !followed.some(member => member.vmId === vmId))
    const additionalSources = this.additionalSources.update(this.oldestAgeMs(), others, clock.now()).filter(vmId => others.includes(vmId))
    this.options.feed.setAdditionalSources(new Set(additionalSources))
    return [...followed, ...additionalSources.flatMap(vmId => members.get(vmId) ?? [])]
  }

  /** Age of the oldest table that a cut from the store makes harmful: upstreams that have left, and keys where their age is limited. */
  private oldestAgeMs (): Milliseconds {
    const { feed, confirmations } = this.options
    return Math.max(feed.copyAgeMs('upstreams') ?? 0, confirmations?.age.ageMs ?? 0)
  }

  /** Whether this VM reaches the store and the followed one does not. */
  private isBehind (vmId: string): boolean {
    const { feed } = this.options
    const ageMs = feed.ageOf(vmId, 'configuration')
    return ageMs !== Infinity && ageMs > feed.ownAgeMs('configuration') + MAX_LAG_MS
  }

  private recordFailure (vmId: string, reason: DisconnectReason | 'behind'): void {
    const { clock, logger, onUnreachable } = this.options
    const earlier = this.outages.get(vmId)
    const failures = (earlier?.failures ?? 0) + 1
    const disconnects = (earlier?.disconnects ?? 0) + (reason === 'behind' ? 0 : 1)
    const downMs = Math.min(INITIAL_BACKOFF_MS * 2 ** (failures - 1), MAX_BACKOFF_MS)
    this.outages.set(vmId, { retryAt: clock.now() + downMs, failures, disconnects })
    this.disconnect(vmId)
    logger.warn('source lost', { source: vmId, reason, failures, downMs })
    if (disconnects >= MAX_CONSECUTIVE_DISCONNECTS && reason !== 'behind') onUnreachable(vmId)
  }

  private disconnect (vmId: string): void {
    this.connections.get(vmId)?.close()
    this.connections.delete(vmId)
    this.options.feed.removeFollowed(vmId)
  }

  private isUp (vmId: string): boolean {
    const outage = this.outages.get(vmId)
    return outage === undefined || outage.retryAt <= this.options.clock.now()
  }

  private updateRole (role: FleetRole | undefined): void {
    const { feed, logger, members } = this.options
    if (role !== undefined && role !== this.currentRole) {
      logger.info('role in the fleet changed', { role, vms: members.count, follows: this.followed })
    }
    this.currentRole = role
    feed.setRole(role)
  }
}

function decodeCopy ({ position: { epoch, end, ageMs }, records, held }: Extract<FeedMessage, { kind: 'copy' }>): TableCopy {
  return { position: { epoch, offset: end }, ageMs, records: decodeFeedRecords(records), held: held && { records: decodeFeedRecords(held.records), leftMs: held.leftMs } }
}
