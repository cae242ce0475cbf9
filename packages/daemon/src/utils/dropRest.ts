import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Time in which a VM that has got its answer ends a request that it is still sending; the rest is dropped until then. */
const MAX_DROP_MS: Milliseconds = 1000

/** Drops what follows of a request that is refused, and closes the connection of a sender that goes on after the answer. */
export function dropRest (request: IncomingMessage, response: ServerResponse): void {
  request.resume()
  response.once('finish', () => {
    if (request.complete) return
    const timer = setTimeout(() => request.destroy(), MAX_DROP_MS)
    request.once('close', () => clearTimeout(timer))
  })
}
