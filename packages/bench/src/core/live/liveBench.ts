import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import { callerHeaders } from '@cowsliplead/platform/standin/callerHeaders.js'
import { LocalDeployment } from '@cowsliplead/platform/standin/localDeployment.js'
import { generateLoad, type LoadRequest, type LoadResult } from './loadGenerator.js'
import { readProcessUsage } from './processUsage.js'

/** Size, duration and load of the live benchmark. */
export interface LiveOptions {
  readonly seed: number
  readonly upstreams: number
  readonly stepMs: number
  readonly startRate: number
  readonly maxRate: number
}

/** Latency of one run in milliseconds. */
export interface Latency {
  readonly p50Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
}

/** What the live benchmark measured on this machine. */
export interface LiveReport {
  readonly seed: number
  /** Highest offered rate at which at least 99% of the calls were answered and the daemon kept up. */
  readonly sustainableRate: number
  readonly measuredRate: number
  readonly direct: Latency
  readonly throughDaemon: Latency
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  /** Processor time of the daemon per call at `measuredRate`. */
  readonly cpuUsPerCall: number
  readonly callsPerCoreSecond: number
  readonly residentMiB: number
  readonly peakResidentMiB: number
  /** Share of a core that the daemon uses while no calls arrive. */
  readonly idleCpuShare: number
}

const MIB = 1_048_576
const US_PER_MS = 1000
const RATE_STEP_FACTOR = 1.5
const MIN_ANSWERED_SHARE = 0.99
/** Under open-loop load, an overloaded daemon's queue keeps growing, so its p99 rises far above this. */
const MAX_SUSTAINED_P99_MS = 50
const IDLE_MEASUREMENT_MS = 5000
const ROUNDS = 3
const SERVICE_TIME_MS = 2

const HOST = 'register.example'
const DEADLINE_MS = 1000

const LOOKUP_ROUTES: RouteConfig = {
  version: 1,
  routes: [{
    name: 'lookup', host: HOST, pathPrefix: '/permits/', kind: 'safe', timeoutMs: DEADLINE_MS, targetMs: DEADLINE_MS, priority: 0, maxAttempts: 2,
    shares: [{ service: 'register', weight: 1 }]
  }],
  services: new Map([['register', { name: 'register', healthPath: '/health', maxConnections: 250 }]]),
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

/** Measures one daemon in front of several upstreams and compares it with calling the upstreams directly. */
export async function runLive (options: LiveOptions): Promise<LiveReport> {
  const deployment = LocalDeployment.create({
    entryCount: 1,
    failureDomains: ['a'],
    graceS: 1,
    services: [{
      service: 'register',
      count: options.upstreams,
      optionsFor: index => ({ slots: 64, seed: index, serviceTime: { distribution: 'constant', meanMs: SERVICE_TIME_MS } })
    }]
  })
  try {
    await deployment.start()
    await deployment.publishRoutes(LOOKUP_ROUTES)
    await deployment.waitUntilReady()
    return await measureDeployment(deployment, options)
  } finally {
    await deployment.stop()
  }
}

async function measureDeployment (deployment: LocalDeployment, options: LiveOptions): Promise<LiveReport> {
  const pid = deployment.processes.pid('entry-1')
  const idleCpuShare = await measureIdleCpuShare(pid)
  const sustainableRate = await findSustainableRate(deployment, options)
  const measuredRate = sustainableRate / 2
  const runs = { direct: [] as LoadResult[], proxied: [] as LoadResult[] }
  let cpuMs = 0
  // Direct and proxied runs alternate, so that noise of the machine affects both.
  for (let round = 0; round < ROUNDS; round++) {
    runs.direct.push(await runLoad(directOrigins(deployment), measuredRate, options, round))
    const before = readProcessUsage(pid)
    runs.proxied.push(await runLoad(deployment.publicOrigins, measuredRate, options, round))
    cpuMs += readProcessUsage(pid).cpuMs - before.cpuMs
  }
  const direct = medianRunLatency(runs.direct)
  const throughDaemon = medianRunLatency(runs.proxied)
  const calls = runs.proxied.reduce((sum, run) => sum + run.sent, 0) * (options.stepMs + warmupMs(options)) / options.stepMs
  const usage = readProcessUsage(pid)
  const cpuUsPerCall = cpuMs * US_PER_MS / calls
  return {
    seed: options.seed,
    sustainableRate,
    measuredRate,
    direct,
    throughDaemon,
    addedP50Ms: throughDaemon.p50Ms - direct.p50Ms,
    addedP99Ms: throughDaemon.p99Ms - direct.p99Ms,
    cpuUsPerCall,
    callsPerCoreSecond: 1e6 / cpuUsPerCall,
    residentMiB: usage.residentBytes / MIB,
    peakResidentMiB: usage.peakResidentBytes / MIB,
    idleCpuShare
  }
}

async function measureIdleCpuShare (pid: number): Promise<number> {
  const before = readProcessUsage(pid)
  await delay(IDLE_MEASUREMENT_MS)
  return (readProcessUsage(pid).cpuMs - before.cpuMs) / IDLE_MEASUREMENT_MS
}

async function findSustainableRate (deployment: LocalDeployment, options: LiveOptions): Promise<number> {
  // Warm-up: a new process runs unoptimized code, which would understate the sustainable rate.
  await runLoad(deployment.publicOrigins, options.startRate, options, 0)
  let sustainedRate = 0
  for (let rate = options.startRate; rate <= options.maxRate; rate *= RATE_STEP_FACTOR) {
    if (!await canSustain(deployment, rate, options)) break
    sustainedRate = rate
  }
  if (sustainedRate === 0) throw new Error(`the daemon could not sustain the start rate of ${options.startRate} calls/s`)
  return sustainedRate
}

/** Tries a rate up to twice, because other work on a shared machine can disturb one step. */
async function canSustain (deployment: LocalDeployment, rate: number, options: LiveOptions): Promise<boolean> {
  for (let attempt = 0; attempt < 2; attempt++) {
    if (isSustained(await runLoad(deployment.publicOrigins, rate, options, attempt))) return true
  }
  return false
}

function isSustained (result: LoadResult): boolean {
  if (result.answered < result.sent * MIN_ANSWERED_SHARE) return false
  return result.latencyUs.getValueAtPercentile(99) / US_PER_MS < MAX_SUSTAINED_P99_MS
}

function runLoad (origins: readonly string[], ratePerSecond: number, options: LiveOptions, round: number): Promise<LoadResult> {
  return generateLoad({
    origins,
    ratePerSecond,
    durationMs: options.stepMs,
    warmupMs: warmupMs(options),
    random: SeededRandom.create(options.seed + round),
    createRequest: createLookup,
    maxConnections: 64
  })
}

function warmupMs (options: LiveOptions): number {
  return options.stepMs / 4
}

function createLookup (index: number): LoadRequest {
  return { method: 'GET', path: `/permits/${index}`, headers: { host: HOST, ...callerHeaders(`load-${index}`, DEADLINE_MS) } }
}

function directOrigins (deployment: LocalDeployment): string[] {
  return deployment.upstreams.map(({ address }) => `http://${address}`)
}

/** Latency of the run with the median p99, so that one disturbed run does not distort the result. */
function medianRunLatency (runs: readonly LoadResult[]): Latency {
  const sorted = [...runs].sort((a, b) => percentileMs(a, 99) - percentileMs(b, 99))
  const median = sorted[Math.floor(sorted.length / 2)] as LoadResult
  return { p50Ms: percentileMs(median, 50), p99Ms: percentileMs(median, 99), p999Ms: percentileMs(median, 99.9) }
}

function percentileMs (run: LoadResult, percentile: number): number {
  return run.latencyUs.getValueAtPercentile(percentile) / US_PER_MS
}
