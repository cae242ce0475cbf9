import { setTimeout as delay } from 'node:timers/promises'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import { build, type Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'

/** One request that the generator sends. */
export interface LoadRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Record<string, string>
  readonly body?: string
}

/** Settings of one open-loop run. */
export interface LoadOptions {
  /** Origins that receive the calls round-robin, for example `http://127.0.0.1:8080`. */
  readonly origins: readonly string[]
  readonly ratePerSecond: number
  readonly durationMs: number
  /** Time during which calls are sent but not recorded. */
  readonly warmupMs: number
  readonly random: RandomSource
  /** Creates the request of call number `index`. */
  readonly createRequest: (index: number) => LoadRequest
  readonly maxConnections: number
}

/** Counts and latencies of one open-loop run, without its warm-up. */
export interface LoadResult {
  readonly sent: number
  readonly answered: number
  readonly refused: number
  readonly failed: number
  /** Latency of answered calls from their scheduled send time, so that stalls of generator or server are not hidden. */
  readonly latencyUs: Histogram
  readonly achievedPerSecond: number
}

interface LoadCounters {
  sent: number
  answered: number
  refused: number
  failed: number
}

const MAX_LATENCY_US = 60_000_000
const SIGNIFICANT_DIGITS = 3

/** Sends calls as a Poisson process, whether or not earlier calls were answered (open loop). */
export async function generateLoad (options: LoadOptions): Promise<LoadResult> {
  const pools = options.origins.map(origin => new Pool(origin, { connections: options.maxConnections, pipelining: 1 }))
  const latencyUs = build({ highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
  const counters: LoadCounters = { sent: 0, answered: 0, refused: 0, failed: 0 }
  const startedAt = performance.now()
  const recordFrom = startedAt + options.warmupMs
  const endAt = recordFrom + options.durationMs
  const pending = new Set<Promise<void>>()
  let dueAt = startedAt
  for (let index = 0; dueAt < endAt; index++) {
    dueAt += interArrivalMs(options)
    if (dueAt - performance.now() > 1) await delay(dueAt - performance.now())
    const pool = pools[index % pools.length] as Pool
    const call = sendRequest(pool, options.createRequest(index), dueAt, recordFrom, counters, latencyUs)
    pending.add(call)
    void call.finally(() => pending.delete(call))
  }
  await Promise.all(pending)
  const elapsedMs = performance.now() - recordFrom
  await Promise.all(pools.map(pool => pool.close()))
  return { ...counters, latencyUs, achievedPerSecond: counters.answered / (elapsedMs / 1000) }
}

function interArrivalMs (options: LoadOptions): number {
  return -Math.log(1 - options.random.next()) * 1000 / options.ratePerSecond
}

async function sendRequest (
  pool: Pool, request: LoadRequest, dueAt: number, recordFrom: number, counters: LoadCounters, latencyUs: Histogram
): Promise<void> {
  const isRecorded = dueAt >= recordFrom
  if (isRecorded) counters.sent++
  try {
    const { statusCode, body } = await pool.request(request)
    await body.dump()
    if (!isRecorded) return
    if (statusCode >= 400) {
      counters.refused++
      return
    }
    counters.answered++
    latencyUs.recordValue(Math.round((performance.now() - dueAt) * 1000))
  } catch {
    if (isRecorded) counters.failed++
  }
}
