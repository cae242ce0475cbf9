import { Membership, SUSPECT_MS, type MembershipPort } from '@cowsliplead/core/core/membership/membership.js'
import type { Clock } from '@cowsliplead/core/types/clock.js'
import type { ExchangeMessage } from '@cowsliplead/core/types/exchange.js'
import type { Member } from '@cowsliplead/core/types/member.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { Component } from '../../types/component.js'
import type { JsonValue, Log } from '../../types/platform.js'
import { sleep } from '../../utils/sleep.js'
import { CONFIG_STREAM, type ConfigKeeper } from '../control/configKeeper.js'
import type { Fleet } from './fleet.js'
import type { KeyedHost } from '../keyed/keyedHost.js'
import type { PeerCaller } from './peerClients.js'
import type { Services } from '../services.js'

/** Shorter than a round, so that rounds do not overlap. */
const TIMEOUT_MS = 800

/** Peers that get urgent marks directly; in a larger fleet the others hear of them in the following rounds. */
const MAX_URGENT_PEERS = 8

/** What the exchange is made of. */
export interface PeerExchangeOptions {
  readonly self: Member
  readonly clock: Clock
  readonly random: RandomSource
  readonly fleet: Fleet
  readonly keeper: ConfigKeeper
  readonly log: Log
  readonly services: Services
  readonly keyedHost: KeyedHost
  readonly peers: PeerCaller
}

/** Tells peers each second what this VM knows, and fetches what they know better. */
export class PeerExchange implements Component, MembershipPort {
  readonly name = 'exchange with peers'
  readonly membership: Membership
  private stopped = new AbortController()
  private isPushing = false
  private pushAgain = false

  private constructor (private readonly options: PeerExchangeOptions) {
    this.membership = Membership.create(options.self, options.clock, options.random, this)
  }

  static create (options: PeerExchangeOptions): PeerExchange {
    return new PeerExchange(options)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    this.run(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
  }

  /** Takes a peer's message and returns this VM's. */
  answer (message: ExchangeMessage): ExchangeMessage {
    this.membership.onMessage(message)
    this.noteOwnState()
    return this.membership.createMessage()
  }

  onDraining (upstreamId: string): void {
    for (const host of this.options.services.all()) host.dispatcher.markDraining(upstreamId)
  }

  onSuspect (fingerprint: string): void {
    const mark = this.membership.marks.list().suspects.find(([name]) => name === fingerprint)
    if (mark === undefined) return
    const [, upstreamIds, remainingMs] = mark
    const expiresAt = this.options.clock.now() + remainingMs
    for (const host of this.options.services.all()) host.dispatcher.importSuspects([{ fingerprint, upstreamIds, expiresAt }])
  }

  /** Tells peers now, outside the rounds. Marks made during a push travel together in the next one. */
  async pushMarks (): Promise<void> {
    this.pushAgain = true
    if (this.isPushing) return
    this.isPushing = true
    while (this.pushAgain && !this.stopped.signal.aborted) {
      this.pushAgain = false
      this.noteOwnState()
      await Promise.all(this.urgentPeers().map(vmId => this.contact(vmId)))
    }
    this.isPushing = false
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const { fleet, peers: { failures, lastFailure } } = this.options
    const states = fleet.peers().map(({ id }) => [id, this.membership.stateOf(id)])
    return { states: Object.fromEntries(states), share: this.membership.share(), failures, lastFailure }
  }

  private async run (stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      this.noteOwnState()
      const contacts = this.membership.takeTargets().map(vmId => this.contact(vmId))
      await Promise.all([...contacts, this.fetchOwnership(), this.fetchFirstConfig()])
      this.applyMembership()
      await this.fetchNewerConfig()
      if (this.options.keeper.isStuck) await this.repairConfig()
      await sleep(Math.max(this.membership.nextTimerAt() - this.options.clock.now(), 0), stopped)
    }
  }

  private urgentPeers (): string[] {
    const ids = this.options.fleet.peers().map(({ id }) => id)
    const first = Math.floor(this.options.random.next() * ids.length)
    return [...ids.slice(first), ...ids.slice(0, first)].slice(0, MAX_URGENT_PEERS)
  }

  private async contact (vmId: string): Promise<void> {
    const message = this.membership.createMessage()
    const answer = await this.options.peers.ask(vmId, TIMEOUT_MS, (client, signal) => client.peer.exchange.mutate(message, { signal }))
    if (answer === undefined) this.membership.onUnreachable(vmId)
    else this.membership.onMessage(answer)
  }

  /** Puts what this VM saw itself into the next messages. */
  private noteOwnState (): void {
    const { keeper, services, clock } = this.options
    this.membership.configRevision = keeper.state.revision
    for (const { dispatcher } of services.all()) {
      for (const id of dispatcher.drainingSeen()) this.membership.noteDraining(id)
      for (const { fingerprint, upstreamIds, expiresAt } of dispatcher.exportSuspects()) {
        this.membership.marks.noteCrashes(fingerprint, upstreamIds, Math.min(expiresAt - clock.now(), SUSPECT_MS))
      }
    }
  }

  private applyMembership (): void {
    const { services, keyedHost } = this.options
    services.setShare(this.membership.share())
    keyedHost.feed(keyed => keyed.setPeers(this.membership.liveMembers()))
  }

  /** A VM that is cut off from the log takes changes from its peers. */
  private async fetchNewerConfig (): Promise<void> {
    const newest = this.membership.newestConfig()
    if (newest !== undefined) await this.fetchConfig(newest.vmId)
  }

  /** A VM that could not read the log at its start takes the configuration from its peers. */
  private async fetchFirstConfig (): Promise<void> {
    if (this.options.keeper.isCaughtUp) return
    await Promise.all(this.options.fleet.peers().map(vm => this.fetchConfig(vm.id)))
  }

  /**
   * Takes the state of a peer that lacks no records. Where every listed VM lacks them, as after an outage of the log
   * that outlasted its retention, no change could be judged any more; then this VM starts anew from the document in force.
   */
  private async repairConfig (): Promise<void> {
    const { keeper, peers, fleet, log } = this.options
    const answers = await Promise.all(fleet.peers().map(({ id }) =>
      peers.ask(id, TIMEOUT_MS, (client, signal) => client.peer.configState.query({ newerThan: -1 }, { signal }))))
    for (const answer of answers) keeper.adoptPeerState(answer?.snapshot)
    const canStartAnew = fleet.isKnown && answers.every(answer =>
      answer !== undefined && answer.isStuck && answer.revision <= keeper.state.revision)
    const rebase = canStartAnew ? keeper.state.createRebase() : undefined
    if (rebase !== undefined) await log.append(CONFIG_STREAM, rebase as unknown as JsonValue)
  }

  private async fetchConfig (vmId: string): Promise<void> {
    const { keeper, peers } = this.options
    const newerThan = keeper.state.document === undefined ? -1 : keeper.state.revision
    const config = await peers.ask(vmId, TIMEOUT_MS, (client, signal) => client.peer.configState.query({ newerThan }, { signal }))
    if (config?.snapshot !== undefined) keeper.adoptPeerState(config.snapshot)
  }

  private async fetchOwnership (): Promise<void> {
    const { keyedHost, fleet, peers } = this.options
    if (!keyedHost.keyed.needsPeerTables) return
    await Promise.all(fleet.peers().map(async ({ id }) => {
      const answer = await peers.ask(id, TIMEOUT_MS, (client, signal) => client.peer.ownershipTable.query(undefined, { signal }))
      if (answer !== undefined) keyedHost.feed(keyed => keyed.onPeerTable(answer.from, answer.table))
    }))
  }
}
