import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { FleetMember } from '@cowsliplead/core/types/fleetMember.js'
import type { FeedMessage } from '../../types/feedMessage.js'
import type { Journal } from '../operators/journal.js'
import type { ChangeFeed } from './changeFeed.js'
import { FeedConnection, type FeedConnectionObserver, type FeedLoss } from './feedConnection.js'

const REVIEW_INTERVAL_MS: Milliseconds = 500

/** First time for which a VM that could not be followed is left alone; doubles with each further failure in a row. */
const FIRST_DOWN_MS: Milliseconds = 5000
const LONGEST_DOWN_MS: Milliseconds = 80_000

/** A followed VM that has read the store this much longer ago than this VM is cut off from the store. */
const LAG_MS: Milliseconds = 2000

/** A VM that could not be followed this often in a row, over two and a half minutes and more, has left the fleet. */
const FAILURES_UNTIL_GONE = 6

interface Outage {
  readonly until: Milliseconds
  readonly failures: number
}

/** What the follower is made of. */
export interface FeedFollowerOptions {
  readonly members: FleetMembers
  readonly feed: ChangeFeed
  readonly clock: Clock
  readonly journal: Journal
  /** VMs that follow this one. */
  readonly followers: () => number
  /** A member has been out of reach for so long that it has left. */
  readonly onGone: (vmId: string) => void
}

/** Keeps connections to the VMs that this one follows, and decides whether this VM has to read the store itself. */
export class FeedFollower implements FeedConnectionObserver {
  private readonly connections = new Map<string, FeedConnection>()
  private readonly outages = new Map<string, Outage>()
  private timer: NodeJS.Timeout | undefined
  private isSource = true

  private constructor (private readonly options: FeedFollowerOptions) {}

  static create (options: FeedFollowerOptions): FeedFollower {
    return new FeedFollower(options)
  }

  /** Ids of the VMs that this one is connected to. */
  get sources (): readonly string[] {
    return [...this.connections.keys()]
  }

  start (): void {
    this.timer = setInterval(() => this.review(), REVIEW_INTERVAL_MS)
  }

  close (): void {
    clearInterval(this.timer)
    for (const connection of this.connections.values()) connection.close()
    this.connections.clear()
  }

  /** The members, their state or this VM's followers changed. */
  update (): void {
    const { members, feed, followers } = this.options
    const isUp = (vmId: string): boolean => this.isUp(vmId)
    const wanted = new Map(members.followed(isUp).map(member => [member.vmId, member]))
    for (const [vmId, { source }] of this.connections) {
      if (wanted.get(vmId)?.feedAddress !== source.feedAddress) this.disconnect(vmId)
    }
    for (const [vmId, member] of wanted) {
      if (!this.connections.has(vmId)) this.connections.set(vmId, FeedConnection.create(member, this))
    }
    this.noteRole(members.isSource(isUp))
    feed.setSource(this.isSource || followers() > 0)
  }

  onMessage ({ vmId }: FleetMember, message: FeedMessage): void {
    const { feed } = this.options
    this.outages.delete(vmId)
    if (message.kind === 'positions') return feed.takePositions(vmId, message.tables)
    const records = message.records.map(({ key, value }) => ({ key, value: value === undefined ? undefined : Buffer.from(value, 'base64') }))
    feed.takeChanges(message.table, { from: message.from, records })
  }

  onLost ({ vmId }: FleetMember, loss: FeedLoss): void {
    this.markDown(vmId, loss)
    this.update()
  }

  private review (): void {
    for (const vmId of this.connections.keys()) {
      if (this.isCutOff(vmId)) this.markDown(vmId, 'behind')
    }
    this.update()
  }

  /** Whether this VM reaches the store and the followed one does not. */
  private isCutOff (vmId: string): boolean {
    const { feed } = this.options
    const ageMs = feed.ageOf(vmId, 'configuration')
    return ageMs !== Infinity && ageMs > feed.ownAgeMs('configuration') + LAG_MS
  }

  private markDown (vmId: string, reason: FeedLoss | 'behind'): void {
    const { clock, journal, onGone } = this.options
    const failures = (this.outages.get(vmId)?.failures ?? 0) + 1
    const downMs = Math.min(FIRST_DOWN_MS * 2 ** (failures - 1), LONGEST_DOWN_MS)
    this.outages.set(vmId, { until: clock.now() + downMs, failures })
    this.disconnect(vmId)
    journal.warn('followed VM lost', { source: vmId, reason, failures, downMs })
    if (failures >= FAILURES_UNTIL_GONE && reason !== 'behind') onGone(vmId)
  }

  private disconnect (vmId: string): void {
    this.connections.get(vmId)?.close()
    this.connections.delete(vmId)
    this.options.feed.forget(vmId)
  }

  private isUp (vmId: string): boolean {
    const outage = this.outages.get(vmId)
    return outage === undefined || outage.until <= this.options.clock.now()
  }

  private noteRole (isSource: boolean): void {
    if (isSource === this.isSource) return
    this.isSource = isSource
    const { journal, members } = this.options
    journal.info('role in the fleet', { role: isSource ? 'source' : 'follower', vms: members.count, follows: this.sources })
  }
}
