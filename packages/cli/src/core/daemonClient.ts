import { request } from 'undici'
import { raise } from '@cowsliplead/core/utils/raise.js'
import { DAEMON_STATUS, type DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'

/** What one daemon returned, or why it returned nothing usable. */
export type DaemonResponse<Value> =
  | { readonly address: string, readonly value: Value }
  | { readonly address: string, readonly problem: string }

/** Requests the status of all daemons concurrently. */
export function fetchStatuses (addresses: readonly string[], timeoutMs: number): Promise<DaemonResponse<DaemonStatus>[]> {
  return Promise.all(addresses.map(async address => {
    const response = await fetchJson(address, '/status', timeoutMs)
    if ('problem' in response) return response
    const status = DAEMON_STATUS.safeParse(response.value)
    return status.success ? { address, value: status.data } : { address, problem: 'the response is not a valid status' }
  }))
}

/** Fetches the complete state of the first daemon that answers; raises `daemonUnreachable` if none does. */
export async function fetchDump (addresses: readonly string[], timeoutMs: number): Promise<unknown> {
  const problems: string[] = []
  for (const address of addresses) {
    const response = await fetchJson(address, '/dump', timeoutMs)
    if ('value' in response) return response.value
    problems.push(`${address}: ${response.problem}`)
  }
  return raise('daemonUnreachable', problems.join('; '))
}

async function fetchJson (address: string, path: string, timeoutMs: number): Promise<DaemonResponse<unknown>> {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(timeoutMs) })
    const text = await body.text()
    return statusCode === 200 ? { address, value: JSON.parse(text) as unknown } : { address, problem: `status ${statusCode}` }
  } catch (error) {
    return { address, problem: rootCauseMessage(error) }
  }
}

function rootCauseMessage (error: unknown): string {
  const { message, code, cause } = error as Error & { code?: string }
  if (cause instanceof Error) return rootCauseMessage(cause)
  return message || code || 'no answer'
}
