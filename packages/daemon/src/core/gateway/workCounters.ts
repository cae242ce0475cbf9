import type { TableReader } from '../control/tableReader.js'
import type { WorkCounters } from '../supervision/workReport.js'
import type { GatewayParts } from './gatewayParts.js'

/** The readers of the control store's tables. */
export function tableReadersOf ({ controlState, fleetTable }: GatewayParts): readonly TableReader[] {
  return [...controlState.readers, fleetTable.reader]
}

/** What the daemon has done since the start. */
export function workCountersOf (parts: GatewayParts): WorkCounters {
  const { received, sent } = parts.fleet.messages
  return {
    requests: parts.proxy.requests,
    probes: sum(parts.services.forwarders().map(({ dispatcher }) => dispatcher.probeCount)),
    feedReceived: received,
    feedSent: sent,
    storeReads: sum(tableReadersOf(parts).map(({ reads }) => reads)),
    logWrites: parts.eventLog.writes
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
