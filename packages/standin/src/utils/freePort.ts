import { createServer } from 'node:net'

const HOST = '127.0.0.1'

/** Below the ephemeral range of Linux, so that no outgoing connection takes a port before its process listens. */
const MIN_PORT = 20_000
const PORT_COUNT = 12_000

/** Ports returned earlier, whose processes may not listen yet. */
const allocatedPorts = new Set<number>()

/** Returns a loopback port on which nothing listens; never returns the same port twice. */
export async function allocatePort (): Promise<number> {
  for (;;) {
    const port = MIN_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (allocatedPorts.has(port) || !await isFree(port)) continue
    allocatedPorts.add(port)
    return port
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const isListening = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => resolve(true))
  })
  if (isListening) await new Promise(resolve => server.close(resolve))
  return isListening
}
