import { createServer } from 'node:net'

const HOST = '127.0.0.1'

/** Below the range from which Linux takes the ports of outgoing connections, which could occupy a port before its process listens. */
const LOWEST_PORT = 20_000
const PORT_COUNT = 12_000

/** Ports of processes that may not listen yet. */
const givenPorts = new Set<number>()

/** A loopback port that nothing listens on and that was not given before by this process. */
export async function freePort (): Promise<number> {
  for (;;) {
    const port = LOWEST_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (givenPorts.has(port) || !await isFree(port)) continue
    givenPorts.add(port)
    return port
  }
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  const listens = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => resolve(true))
  })
  if (listens) await new Promise(resolve => server.close(resolve))
  return listens
}
