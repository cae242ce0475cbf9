import type { AppliedChange } from '@cowsliplead/core/types/configRecords.js'
import { vmIdOf } from '@cowsliplead/core/types/member.js'
import type { DaemonStatus, InForce, PeerApi, PeerConfig, PrivateApi } from '../../types/privateApi.js'
import type { Settings } from '../../types/settings.js'
import type { DaemonState } from '../daemonState.js'
import { createPeerApi } from '../peers/peerApi.js'
import type { ChangeRequest, Publisher, PublishResult } from '../control/publisher.js'
import { surveyRevisions } from '../control/revisionSurvey.js'
import type { ComponentState } from '../supervision/supervisor.js'

/** A peer that does not tell its revision within this time is reported as not answering. */
const PEER_TIMEOUT_MS = 1000

/** What the daemon says of itself beside its state. */
export interface DaemonView {
  unreadyReasons (): readonly string[]
  callsInFlight (): number
  components (): readonly ComponentState[]
  isLogAvailable (): boolean
  stalls (): number
}

/** The operations of the private port on one daemon. */
export class OperatorApi implements PrivateApi {
  readonly peer: PeerApi

  private constructor (
    private readonly settings: Settings,
    private readonly state: DaemonState,
    private readonly publisher: Publisher,
    private readonly view: DaemonView
  ) {
    this.peer = createPeerApi(state.self, state.keyedHost, state.exchange)
  }

  static create (settings: Settings, state: DaemonState, publisher: Publisher, view: DaemonView): OperatorApi {
    return new OperatorApi(settings, state, publisher, view)
  }

  publish (change: ChangeRequest): Promise<PublishResult> {
    return this.publisher.publish(change)
  }

  inForce (): Promise<InForce> {
    const { keeper, fleet, clients } = this.state
    const own = { vmId: this.settings.vmId, revision: keeper.state.revision }
    return surveyRevisions(fleet.entryVms(), own, clients, PEER_TIMEOUT_MS)
  }

  history (limit: number): readonly AppliedChange[] {
    return (this.state.keeper.state.snapshot()?.changes ?? []).slice(-limit).reverse()
  }

  status (): DaemonStatus {
    const { vmId, failureDomain, region } = this.settings
    const { keeper, fleet, keyedHost, exchange } = this.state
    const reasons = this.view.unreadyReasons()
    return {
      vmId,
      failureDomain,
      region,
      ready: reasons.length === 0,
      reasons,
      revision: keeper.state.revision,
      logAvailable: this.view.isLogAvailable(),
      vmListAgeMs: fleet.ageMs,
      liveEntryVms: fleet.liveEntryIds(),
      livePeers: exchange.membership.liveMembers().map(vmIdOf),
      callsInFlight: this.view.callsInFlight(),
      ownedPartitions: keyedHost.keyed.ownedCount,
      openPartitions: keyedHost.keyed.openCount,
      components: this.view.components()
    }
  }

  dump (): Record<string, unknown> {
    const { keeper, fleet, services, keyedHost, exchange, self } = this.state
    return {
      member: self,
      status: this.status(),
      config: { counters: keeper.state.counters, isComplete: keeper.state.isComplete, snapshot: keeper.state.snapshot() },
      entryVms: fleet.entryVms(),
      peers: exchange.describe(),
      ownership: keyedHost.keyed.ownershipTable(),
      keyed: keyedHost.describe(),
      services: services.all().map(host => host.describe()),
      eventLoopStalls: this.view.stalls()
    }
  }

  configState (newerThan: number): PeerConfig {
    const { state } = this.state.keeper
    const snapshot = state.revision > newerThan ? state.snapshot() : undefined
    return { vmId: this.settings.vmId, revision: state.revision, isStuck: this.state.keeper.isStuck, snapshot }
  }
}
