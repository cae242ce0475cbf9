import type { Server } from 'node:http'
import { splitAddress } from './address.js'

/** Starts to listen on `host:port`; rejects where that fails. */
export async function listenOn (server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port }, resolve)
  })
}

/** Stops listening and cuts all connections. */
export function closeAtOnce (server: Server): void {
  server.close()
  server.closeAllConnections()
}
