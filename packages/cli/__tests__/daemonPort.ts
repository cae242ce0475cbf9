import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'

/** The admin port of a daemon with made-up content. */
export interface DaemonPort {
  readonly address: string
  stop (): void
}

/** Serves a status and a dump; undefined is answered with 500. */
export async function startDaemonPort (status: Partial<DaemonStatus> | undefined): Promise<DaemonPort> {
  const whole = status && {
    vmId: 'e1', failureDomain: 'a', ready: true, reasons: [], policyRevision: 0, configVersion: 3, storeAgeMs: 5, callsInFlight: 0, components: [], ...status
  }
  const server = createServer((request, response) => {
    if (whole === undefined) response.writeHead(500).end()
    else response.end(JSON.stringify(request.url === '/dump' ? { everything: true } : whole))
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
