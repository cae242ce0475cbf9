import type { Server } from 'node:http'
import { splitAddress } from './address.js'

/** Starts listening on `host:port`; rejects on failure. `onFailure` is called on the first server error after that. */
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

/** Stops listening and closes all connections, including those in use. */
export function closeImmediately (server: Server): void {
  server.close()
  server.closeAllConnections()
}
