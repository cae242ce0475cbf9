import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'

/** A server that answers like the admin port of a daemon. */
export interface FakeDaemon {
  readonly address: string
  stop (): void
}

/** Serves the given status over plausible defaults, and a dump; without a status, every request fails with 500. */
export async function startFakeDaemon (status: Partial<DaemonStatus> | undefined): Promise<FakeDaemon> {
  const completeStatus = status && {
    vmId: 'e1', failureDomain: 'a', ready: true, reasons: [], policyRevision: 0, configVersion: 3, storeAgeMs: 5, callsInFlight: 0, components: [], ...status
  }
  const server = createServer((request, response) => {
    if (completeStatus === undefined) response.writeHead(500).end()
    else response.end(JSON.stringify(request.url === '/dump' ? { everything: true } : completeStatus))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
