import type { Clock } from '@cowsliplead/core/types/clock.js'
import { SystemClock } from '@cowsliplead/core/types/clock.js'
import { memberOf, type Member } from '@cowsliplead/core/types/member.js'
import { SeededRandom, type RandomSource } from '@cowsliplead/core/types/randomSource.js'
import type { Platform, VmListing } from '../types/platform.js'
import type { Settings } from '../types/settings.js'
import { ConfigKeeper } from './control/configKeeper.js'
import { Fleet } from './peers/fleet.js'
import type { Journal } from './operators/journal.js'
import { KeyedHost } from './keyed/keyedHost.js'
import { PeerCaller, PeerClients } from './peers/peerClients.js'
import { PeerExchange } from './peers/peerExchange.js'
import { RequestIds } from './callers/requestIds.js'
import { Services } from './services.js'
import { TickTimer } from './supervision/tickTimer.js'

/** What one VM knows and decides by, apart from the servers and readers around it. */
export interface DaemonState {
  readonly self: Member
  readonly clock: Clock
  readonly tickTimer: TickTimer
  readonly ids: RequestIds
  readonly fleet: Fleet
  readonly services: Services
  readonly keeper: ConfigKeeper
  readonly clients: PeerClients
  readonly keyedHost: KeyedHost
  readonly exchange: PeerExchange
}

/** Creates the state of a new incarnation of a VM. */
export function createDaemonState (settings: Settings, platform: Platform, journal: Journal): DaemonState {
  const clock = SystemClock.create()
  const tickTimer = TickTimer.create(clock)
  const ids = RequestIds.create(settings.vmId)
  const fleet = Fleet.create(settings.vmId, clock)
  const random = SeededRandom.create(Math.floor(Math.random() * 2 ** 31))
  const services = Services.create({ clock, random, tickTimer, fleet, limits: settings.limits })
  const clients = PeerClients.create(settings.sharedKey)
  const base = { self: memberOf(settings.vmId, Math.floor(clock.now())), clock, tickTimer, ids, fleet, services, clients }
  return { ...base, ...createSharedState(settings, platform, journal, random, base) }
}

type Base = Omit<DaemonState, 'keeper' | 'keyedHost' | 'exchange'>

/** The parts that VMs agree on with each other. */
function createSharedState (settings: Settings, { log }: Platform, journal: Journal, random: RandomSource, base: Base) {
  const { self, clock, ids, services, fleet, tickTimer } = base
  const { logRetentionMs } = settings.limits
  const peers = PeerCaller.create(base.clients, vmId => fleet.privateAddressOf(vmId))
  const keyedHost = KeyedHost.create({ self, clock, log, ids, services, tickTimer, logRetentionMs, peers })
  const keeper = ConfigKeeper.create(clock, (document, revision) => {
    services.setDocument(document)
    keyedHost.feed(keyed => keyed.setSettings(document.defaults.keyedCalls))
    journal.info('configuration in force', { revision })
  })
  const exchange = PeerExchange.create({ self, clock, random, fleet, keeper, log, services, keyedHost, peers })
  services.onSuspects = () => void exchange.pushMarks()
  return { keyedHost, keeper, exchange }
}

/** Takes a newer VM list. */
export function takeListing (state: DaemonState, listing: VmListing): void {
  state.fleet.setListing(listing)
  const vms = state.fleet.entryVms().map(({ id, state }) => ({ id, state }))
  const list = { asOf: listing.asOf, vms }
  state.exchange.membership.onVmList(list)
  state.services.setShare(state.exchange.membership.share())
  state.services.onListing()
  state.keyedHost.feed(keyed => keyed.onVmList(list))
}
