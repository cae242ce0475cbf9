import { setTimeout as delay } from 'node:timers/promises'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import { callerHeaders } from '@cowsliplead/platform/standin/callerHeaders.js'
import { LocalDeployment } from '@cowsliplead/platform/standin/localDeployment.js'
import { generateLoad, type LoadRequest, type LoadResult } from './loadGenerator.js'
import { readProcessUsage } from './processUsage.js'

/** How long and how hard the live benchmark runs. */
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
const RATE_FACTOR = 1.5
const ANSWERED_SHARE = 0.99
/** A daemon that is behind queues calls without limit, so its p99 rises far above this. */
const KEPT_UP_P99_MS = 50
const IDLE_MS = 5000
const ROUNDS = 3
const SERVICE_MS = 2

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

/** Runs one daemon against several upstreams and compares it with calling the upstreams directly in the same run. */
export async function runLive (options: LiveOptions): Promise<LiveReport> {
  const deployment = LocalDeployment.create({
    entryCount: 1,
    failureDomains: ['a'],
    graceS: 1,
    services: [{
      service: 'register',
      count: options.upstreams,
      upstream: index => ({ slots: 64, seed: index, serviceTime: { distribution: 'constant', meanMs: SERVICE_MS } })
    }]
  })
  try {
    await deployment.start()
    await deployment.publishRoutes(LOOKUP_ROUTES)
    await deployment.waitServing()
    return await measure(deployment, options)
  } finally {
    await deployment.stop()
  }
}

async function measure (deployment: LocalDeployment, options: LiveOptions): Promise<LiveReport> {
  const pid = deployment.processes.pid('entry-1')
  const idleCpuShare = await measureIdle(pid)
  const sustainableRate = await findSustainableRate(deployment, options)
  const measuredRate = sustainableRate / 2
  const runs = { direct: [] as LoadResult[], proxied: [] as LoadResult[] }
  let cpuMs = 0
  // Alternating keeps noise of the machine from falling on one side only.
  for (let round = 0; round < ROUNDS; round++) {
    runs.direct.push(await load(directOrigins(deployment), measuredRate, options, round))
    const before = readProcessUsage(pid)
    runs.proxied.push(await load(deployment.publicOrigins, measuredRate, options, round))
    cpuMs += readProcessUsage(pid).cpuMs - before.cpuMs
  }
  const direct = latencyOf(runs.direct)
  const throughDaemon = latencyOf(runs.proxied)
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

async function measureIdle (pid: number): Promise<number> {
  const before = readProcessUsage(pid)
  await delay(IDLE_MS)
  return (readProcessUsage(pid).cpuMs - before.cpuMs) / IDLE_MS
}

async function findSustainableRate (deployment: LocalDeployment, options: LiveOptions): Promise<number> {
  // A new process runs unoptimised code; its first seconds say nothing about the rate that it sustains.
  await load(deployment.publicOrigins, options.startRate, options, 0)
  let sustained = 0
  for (let rate = options.startRate; rate <= options.maxRate; rate *= RATE_FACTOR) {
    if (!await sustains(deployment, rate, options)) break
    sustained = rate
  }
  if (sustained === 0) throw new Error(`the daemon did not keep up with ${options.startRate} calls a second`)
  return sustained
}

/** Tries a rate twice: on a shared machine, other work can spoil one step. */
async function sustains (deployment: LocalDeployment, rate: number, options: LiveOptions): Promise<boolean> {
  for (let attempt = 0; attempt < 2; attempt++) {
    if (keptUp(await load(deployment.publicOrigins, rate, options, attempt))) return true
  }
  return false
}

function keptUp (result: LoadResult): boolean {
  if (result.answered < result.sent * ANSWERED_SHARE) return false
  return result.latencyUs.getValueAtPercentile(99) / US_PER_MS < KEPT_UP_P99_MS
}

function load (origins: readonly string[], ratePerSecond: number, options: LiveOptions, round: number): Promise<LoadResult> {
  return generateLoad({
    origins,
    ratePerSecond,
    durationMs: options.stepMs,
    warmupMs: warmupMs(options),
    random: SeededRandom.create(options.seed + round),
    request: lookup,
    maxConnections: 64
  })
}

function warmupMs (options: LiveOptions): number {
  return options.stepMs / 4
}

function lookup (index: number): LoadRequest {
  return { method: 'GET', path: `/permits/${index}`, headers: { host: HOST, ...callerHeaders(`load-${index}`, DEADLINE_MS) } }
}

function directOrigins (deployment: LocalDeployment): string[] {
  return deployment.upstreams.map(({ address }) => `http://${address}`)
}

/** Takes the run with the median p99, so that one disturbed run does not decide. */
function latencyOf (runs: readonly LoadResult[]): Latency {
  const sorted = [...runs].sort((a, b) => percentileMs(a, 99) - percentileMs(b, 99))
  const median = sorted[Math.floor(sorted.length / 2)] as LoadResult
  return { p50Ms: percentileMs(median, 50), p99Ms: percentileMs(median, 99), p999Ms: percentileMs(median, 99.9) }
}

function percentileMs (run: LoadResult, percentile: number): number {
  return run.latencyUs.getValueAtPercentile(percentile) / US_PER_MS
}
