import type { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { FleetRole } from '@cowsliplead/core/types/fleetMember.js'
import type { ControlStore } from '../../types/controlStore.js'
import type { Logger } from '../operators/logger.js'
import { ChangeFeed } from './changeFeed.js'
import type { ConfirmationExchange } from './confirmationExchange.js'
import { FeedFollower } from './feedFollower.js'
import { FeedServer } from './feedServer.js'
import { LeavingNotices } from './leavingNotices.js'
import { Membership } from './membership.js'
import type { LeavingNotice } from '../../types/feedMessage.js'

/** Options of the fleet. */
export interface FleetOptions {
  readonly vmId: string
  /** The known members, which the fleet keeps up to date. */
  readonly members: FleetMembers
  readonly failureDomain: string
  /** IP address and port that the other VMs connect to. */
  readonly address: string
  /** Connections that other VMs may have to this one. */
  readonly maxConnections: number
  /** Address at which this VM takes requests of the others; undefined if it takes none. */
  readonly peerAddress?: () => string | undefined
  readonly store: ControlStore
  readonly clock: Clock
  readonly logger: Logger
  /** Undefined if the age of the configuration is not limited. */
  readonly confirmations?: ConfirmationExchange | undefined
  /** Called with the number of entry VMs, this one included, when the members may have changed. */
  readonly onSizeChange: (count: number) => void
  /** Called when another VM has passed on that an upstream is leaving. */
  readonly onLeaving?: (notice: LeavingNotice) => void
}

/** This VM's view of the fleet, for the dump and metrics. */
export interface FleetSnapshot {
  /** Known entry VMs, this one included. */
  readonly vms: number
  /** Undefined until this VM is registered. */
  readonly role: FleetRole | undefined
  /** Ids of the VMs that this one follows. */
  readonly follows: readonly string[]
  readonly followers: number
}

/** This VM's view of the fleet of entry VMs: the members, the VMs that it follows and its followers. */
export class Fleet {
  readonly feed: ChangeFeed
  readonly server: FeedServer
  readonly leaving: LeavingNotices
  readonly membership: Membership
  readonly members: FleetMembers
  private readonly follower: FeedFollower

  private constructor ({ vmId, members, failureDomain, address, maxConnections, peerAddress, store, clock, logger, confirmations, onSizeChange, onLeaving }: FleetOptions) {
    const feed = ChangeFeed.create(clock)
    this.members = members
    this.feed = feed
    this.leaving = LeavingNotices.create({ clock, logger, onNotice: notice => onLeaving?.(notice) })
    this.server = FeedServer.create({ address, maxConnections, feed, clock, confirmations, leaving: this.leaving })
    this.leaving.setPublisher(() => this.server.onPosition())
    feed.setPublisher(this.server)
    this.membership = Membership.create({
      store,
      members,
      logger,
      ownMember: () => ({ vmId, feedAddress: this.server.address, peerAddress: peerAddress?.(), failureDomain }),
      onChange: () => {
        onSizeChange(members.count)
        this.follower.reconcile()
      }
    })
    this.follower = FeedFollower.create({ vmId, confirmations, members, feed, clock, logger, leaving: this.leaving, onUnreachable: id => this.membership.remove(id) })
  }

  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  /** Starts the regular check of the VMs that this one follows. */
  start (): void {
    this.follower.start()
  }

  /** Connects to VMs at once that could not be reached before. */
  retryLost (): void {
    this.follower.retryLost()
  }

  close (): void {
    this.follower.close()
    this.membership.close()
  }

  /** Messages of the feed since the start. */
  get messages (): { readonly received: number, readonly sent: number } {
    return { received: this.follower.received, sent: this.server.sent }
  }

  /** The state for the dump and metrics. */
  snapshot (): FleetSnapshot {
    return { vms: this.members.count, role: this.follower.role, follows: this.follower.followed, followers: this.server.followers }
  }
}
