import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { ControlStore } from '../../types/controlStore.js'
import type { Journal } from '../operators/journal.js'
import { ChangeFeed } from './changeFeed.js'
import { FeedFollower } from './feedFollower.js'
import { FeedServer } from './feedServer.js'
import { Membership } from './membership.js'

/** What the fleet's parts are made of. */
export interface FleetOptions {
  readonly vmId: string
  /** Where the other VMs connect: IP address and port. */
  readonly address: string
  readonly store: ControlStore
  readonly clock: Clock
  readonly journal: Journal
  /** Hears of the number of entry VMs, this one included. */
  readonly onSize: (count: number) => void
}

/** This VM among the others, for the dump and metrics. */
export interface FleetSnapshot {
  /** Known entry VMs, this one included. */
  readonly vms: number
  /** Ids of the VMs that this one is connected to. */
  readonly follows: readonly string[]
  readonly followers: number
}

/** This VM among the other entry VMs: who they are, whom it follows and who follows it. */
export class Fleet {
  readonly feed: ChangeFeed
  readonly server: FeedServer
  readonly membership: Membership
  readonly members: FleetMembers
  private readonly follower: FeedFollower

  private constructor ({ vmId, address, store, clock, journal, onSize }: FleetOptions) {
    const members = FleetMembers.create(vmId)
    const feed = ChangeFeed.create(clock)
    this.members = members
    this.feed = feed
    this.server = FeedServer.create({ address, feed, onFollowers: () => this.follower.update() })
    feed.setPublisher(this.server)
    this.membership = Membership.create({
      store,
      members,
      journal,
      own: () => ({ vmId, feedAddress: this.server.address }),
      onChange: () => {
        onSize(members.count)
        this.follower.update()
      }
    })
    this.follower = FeedFollower.create({
      members, feed, clock, journal, followers: () => this.server.followers, onGone: id => this.membership.remove(id)
    })
  }

  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  /** Starts to watch the VMs that this one follows. */
  start (): void {
    this.follower.start()
  }

  close (): void {
    this.follower.close()
    this.membership.close()
  }

  /** The state for the dump and metrics. */
  snapshot (): FleetSnapshot {
    return { vms: this.members.count, follows: this.follower.sources, followers: this.server.followers }
  }
}
