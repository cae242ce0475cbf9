import type { Server } from 'node:http'
import { splitAddress } from './address.js'

/** Starts to listen on `host:port`; rejects where that fails. `onFailure` hears of errors of the server afterwards. */
export async function listenOn (server: Server, address: string, onFailure: (error: Error) => void): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, () => {
      server.off('error', reject)
      resolve()
    })
  })
  server.once('error', onFailure)
}

/** Stops listening and cuts all connections. */
export function closeAtOnce (server: Server): void {
  server.close()
  server.closeAllConnections()
}
