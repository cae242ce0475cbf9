import { request } from 'undici'
import { raise } from '@cowsliplead/core/utils/raise.js'
import { DAEMON_STATUS, type DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'

/** The answer of one daemon. */
export type DaemonAnswer<Value> =
  | { readonly address: string, readonly value: Value }
  | { readonly address: string, readonly problem: string }

/** Asks every daemon for its status at the same time. */
export function askStatus (addresses: readonly string[], timeoutMs: number): Promise<DaemonAnswer<DaemonStatus>[]> {
  return Promise.all(addresses.map(async address => {
    const answer = await ask(address, '/status', timeoutMs)
    if ('problem' in answer) return answer
    const status = DAEMON_STATUS.safeParse(answer.value)
    return status.success ? { address, value: status.data } : { address, problem: 'the answer is no status' }
  }))
}

/** The complete state of the first daemon that answers; raises `daemonUnreachable` where none does. */
export async function askDump (addresses: readonly string[], timeoutMs: number): Promise<unknown> {
  const problems: string[] = []
  for (const address of addresses) {
    const answer = await ask(address, '/dump', timeoutMs)
    if ('value' in answer) return answer.value
    problems.push(`${address}: ${answer.problem}`)
  }
  return raise('daemonUnreachable', problems.join('; '))
}

async function ask (address: string, path: string, timeoutMs: number): Promise<DaemonAnswer<unknown>> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(timeoutMs) })
    const text = await body.text()
    return statusCode === 200 ? { address, value: JSON.parse(text) as unknown } : { address, problem: `status ${statusCode}` }
  } catch (error) {
    return { address, problem: rootMessage(error) }
  }
}

function rootMessage (error: unknown): string {
  const { message, code, cause } = error as Error & { code?: string }
  if (cause instanceof Error) return rootMessage(cause)
  return message || code || 'no answer'
}
