import { Metrics } from '../operators/metrics.js'
import { processorMs } from '../supervision/workReport.js'
import type { GatewayParts } from './gatewayParts.js'
import { tableReadersOf } from './workCounters.js'

const MS_PER_SECOND = 1000

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
    processorSeconds: () => processorMs() / MS_PER_SECOND,
    feedMessages: () => parts().fleet.messages,
    closedConnections: () => parts().servers.callers.closedConnections,
    evictedBodies: () => parts().bodyBudget.evicted,
    logWrites: () => parts().eventLog.writes,
    storeReads: () => tableReadersOf(parts()).map(({ table, reads }) => ({ table, reads })),
    components: () => parts().supervisor.componentStates()
  })
}
