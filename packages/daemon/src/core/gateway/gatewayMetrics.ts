import type { TableReader } from '../control/tableReader.js'
import { Metrics } from '../operators/metrics.js'
import type { GatewayParts } from './gatewayParts.js'

/** Creates the metrics of the daemon. The parts are read when the metrics are collected. */
export function createGatewayMetrics (parts: () => GatewayParts, isReady: () => boolean): Metrics {
  return Metrics.create({
    forwarders: () => parts().services.forwarders(),
    configVersion: () => parts().services.config?.version ?? 0,
    rejectedEntries: () => parts().services.config?.rejectedEntries?.length ?? 0,
    unreadableConfigs: () => parts().controlState.unreadableConfigs,
    evacuatedDomains: () => parts().controlState.evacuations.count,
    policyRevision: () => parts().policyState.revision,
    keyAgeMs: () => parts().keyConfirmation?.roundedAgeMs,
    keyRefusals: () => parts().authenticator.refusals,
    isReady,
    callsInFlight: () => parts().proxy.inFlight,
    logLinesLost: () => parts().eventLog.omitted + parts().eventLog.dropped,
    stallCount: () => parts().stallCount,
    fleet: () => parts().fleet.snapshot(),
    quotas: () => parts().quotas.counters,
    handover: () => parts().handover?.snapshot(),
    storeReads: () => tableReadersOf(parts()).map(({ table, reads }) => ({ table, reads })),
    components: () => parts().supervisor.componentStates()
  })
}

/** The readers of the control store's tables. */
export function tableReadersOf ({ controlState, fleetTable }: GatewayParts): readonly TableReader[] {
  return [...controlState.readers, fleetTable.reader]
}
