import type { AddressInfo } from 'node:net'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import { createRouter } from '@cowsliplead/daemon/core/operators/router.js'
import type { PrivateApi } from '@cowsliplead/daemon/types/privateApi.js'
import { SHARED_KEY_HEADER } from '@cowsliplead/daemon/utils/sharedKey.js'

export const SHARED_KEY = 'test-key-0123456789'

/** Procedures that a test replaces; the others fail. */
export type Procedures = Partial<PrivateApi>

/** A daemon's private port with the daemon's router and made-up procedures. */
export interface FakeDaemon {
  readonly address: string
  /** Names and inputs of the calls received. */
  readonly calls: readonly { readonly name: string, readonly input: unknown }[]
  stop (): void
}

export async function startFakeDaemon (procedures: Procedures): Promise<FakeDaemon> {
  const calls: { name: string, input: unknown }[] = []
  const recorded = Object.fromEntries(Object.entries(procedures).map(([name, procedure]) => [name, (input: unknown) => {
    calls.push({ name, input })
    return (procedure as (input: unknown) => unknown)(input)
  }]))
  const server = createHTTPServer({
    router: createRouter(recorded as unknown as PrivateApi),
    basePath: '/trpc/',
    createContext: ({ req }) => ({ isAuthorized: req.headers[SHARED_KEY_HEADER] === SHARED_KEY })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    calls,
    stop: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
