import type { PeerApi } from '../../types/privateApi.js'
import { decodeHandover, encodeResult } from '../../utils/peerCodec.js'
import type { KeyedHost } from '../keyed/keyedHost.js'
import type { PeerExchange } from './peerExchange.js'

/** Answers the messages of peers. */
export function createPeerApi (self: string, host: KeyedHost, exchange: PeerExchange): PeerApi {
  return {
    exchange: message => exchange.answer(message),
    ownershipTable: () => ({ from: self, table: host.keyed.ownershipTable() }),
    runKeyed: async message => encodeResult(await host.runForwarded(message)),
    witness: message => host.feed(keyed => keyed.witness(message)) ?? null,
    witnessedClaims: message => host.feed(keyed => keyed.witnessedClaims(message)) ?? null,
    receiveHandover: message => host.feed(keyed => keyed.receiveHandover(decodeHandover(message)))
  }
}
