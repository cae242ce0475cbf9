import { ConfigState } from '../../src/core/configuration/configState.js'
import type { FakeVm } from './fakeVm.js'
import { SHORT_TIMING, World, type WorldOptions } from './world.js'

const ACTIVE_MS = 6_000
const HEAL_MS = 3_000
const KEYS = 12

type Fault = (world: World) => void

/** Faults by name; each lasts for a random time and ends by itself. */
const FAULTS: Record<string, Fault> = {
  kill: world => killOne(world),
  replace: world => killOne(world, `vm${100 + world.vms.size}`),
  pause: world => pauseOne(world),
  cutLink: world => {
    const [a, b] = [world.sim.pick(world.alive), world.sim.pick(world.alive)]
    const link = [a.vmId, b.vmId].sort().join(' ')
    world.cutLinks.add(link)
    world.sim.after(world.sim.between(200, 4_000), () => world.cutLinks.delete(link))
  },
  logDown: world => {
    world.setLogDown(true)
    world.sim.after(world.sim.between(300, 5_000), () => world.setLogDown(false))
  },
  logDownForOne: world => {
    const { vmId } = world.sim.pick(world.alive)
    world.log.downFor.add(vmId)
    world.sim.after(world.sim.between(300, 6_000), () => world.log.downFor.delete(vmId))
  },
  logSlow: world => {
    world.log.slowMs = world.sim.between(50, 600)
    world.sim.after(world.sim.between(300, 4_000), () => {
      world.log.slowMs = 0
    })
  },
  logLossy: world => {
    world.log.lossShare = world.sim.between(0, 0.5)
    world.log.lateShare = world.sim.between(0, 0.5)
  },
  listLags: world => {
    world.listLagMs = world.sim.between(100, 3_000)
  },
  listDown: world => {
    world.isListDown = true
    world.sim.after(world.sim.between(300, 4_000), () => {
      world.isListDown = false
    })
  },
  // The list loses a VM that runs on, as happens when the platform cannot reach it.
  listDropsLive: world => {
    const { vmId } = world.sim.pick(world.alive)
    world.list(vmId, false)
    world.sim.after(world.sim.between(300, 4_000), () => world.list(vmId, true))
  },
  // A VM that runs on is taken for gone while it cannot learn of its successor, or learns of it late.
  isolate: world => {
    const { vmId } = world.sim.pick(world.alive)
    const stalls = world.sim.pick([['ownership'], ['ownership'], ['ownership', 'claims']]).map(stream => `${vmId} ${stream}`)
    const cut = world.sim.chance(0.4) ? world.alive.filter(vm => vm.vmId !== vmId && world.sim.chance(0.9)).map(vm => [vm.vmId, vmId].sort().join(' ')) : []
    if (world.sim.chance(0.4)) world.log.downFor.add(vmId)
    else stalls.forEach(stall => world.log.stalled.add(stall))
    if (world.sim.chance(0.7)) world.listDownFor.add(vmId)
    cut.forEach(link => world.cutLinks.add(link))
    world.list(vmId, false)
    world.sim.after(world.sim.between(1_000, 5_000), () => {
      stalls.forEach(stall => world.log.stalled.delete(stall))
      world.log.downFor.delete(vmId)
      world.listDownFor.delete(vmId)
      cut.forEach(link => world.cutLinks.delete(link))
      world.list(vmId, true)
    })
  },
  leave: world => {
    const vm = world.sim.pick(world.alive)
    if (!mayLose(world, vm)) return
    world.leave(vm)
    world.sim.after(world.sim.between(500, 1_500), () => stop(world, vm))
  }
}

function mayLose (world: World, vm: FakeVm): boolean {
  const others = world.alive.filter(other => other !== vm)
  return others.length >= 2 && others.some(other => other.config.document !== undefined && other.config.isComplete)
}

function stop (world: World, vm: FakeVm, successor?: string): void {
  if (!vm.isAlive || !mayLose(world, vm)) return
  world.kill(vm)
  world.sim.after(world.sim.between(100, 1_500), () => {
    if (successor === undefined && world.sim.chance(0.5)) return
    world.list(vm.vmId, false)
  })
  world.sim.after(world.sim.between(100, 1_000), () => world.start(successor ?? vm.vmId))
}

function killOne (world: World, successor?: string): void {
  stop(world, world.sim.pick(world.alive), successor)
}

function pauseOne (world: World): void {
  const vm = world.sim.pick(world.alive)
  const durationMs = world.sim.between(200, 4_500)
  vm.pause(durationMs)
  if (!world.sim.chance(0.6)) return
  world.sim.after(world.sim.between(200, 1_500), () => world.list(vm.vmId, false))
  world.sim.after(durationMs + world.sim.between(0, 500), () => world.list(vm.vmId, true))
}

/** What a schedule showed. */
export interface ScheduleResult {
  readonly world: World
  readonly violations: readonly string[]
}

/** Runs the schedule of a seed. `faults` limits the kinds of faults; all by default. */
export function runSchedule (seed: number, overrides: Partial<WorldOptions> = {}, faults: readonly string[] = Object.keys(FAULTS)): ScheduleResult {
  const keyRetentionMs = seed % 4 === 0 ? 4_500 : SHORT_TIMING.keyRetentionMs
  const world = new World(seed, { timing: { ...SHORT_TIMING, keyRetentionMs }, logRetentionMs: seed % 5 === 0 ? 3_000 : 10_000, vmCount: seed % 3 === 0 ? 4 : 3, upstreamFaults: true, ...overrides })
  const { sim } = world
  planFaults(world, faults)
  for (let index = 0; index < KEYS; index++) {
    const key = `k${index}`
    const at = sim.between(1_200, ACTIVE_MS - 500)
    sim.after(at, () => world.submit(key, 3))
    // A client library that sends the same request twice at once.
    if (sim.chance(0.3)) sim.after(at + sim.between(0, 20), () => world.submit(key, 0))
  }
  for (let index = 0; index < 8; index++) sim.after(sim.between(300, ACTIVE_MS), () => world.publish(`c${index}`))
  sim.after(20, () => world.publish('first'))
  sim.after(1_000, () => world.publish('second'))
  for (let at = 500; at < ACTIVE_MS; at += 500) sim.after(at, () => world.log.expire(world.options.logRetentionMs))
  sim.runFor(ACTIVE_MS)
  heal(world)
  sim.runFor(HEAL_MS)
  return { world, violations: [...world.violations, ...checkKeys(world), ...checkRefusals(world), ...checkConfig(world)] }
}

function planFaults (world: World, kinds: readonly string[]): void {
  const { sim } = world
  const count = kinds.length === 0 ? 0 : Math.floor(sim.between(1, 8))
  for (let index = 0; index < count; index++) {
    const kind = sim.pick(kinds)
    sim.after(sim.between(600, ACTIVE_MS - 1_500), () => {
      sim.log(`fault ${kind}`)
      FAULTS[kind]?.(world)
    })
  }
}

function heal (world: World): void {
  world.setLogDown(false)
  world.log.downFor.clear()
  world.log.stalled.clear()
  world.listDownFor.clear()
  Object.assign(world.log, { slowMs: 0, lossShare: 0, lateShare: 0 })
  Object.assign(world, { listLagMs: 0, isListDown: false })
  world.cutLinks.clear()
  for (const vm of world.alive) vm.resume()
}

/** A key that ran twice. Callers repeat a key only within its retention. */
function checkKeys (world: World): string[] {
  const counts = new Map<string, number>()
  for (const { key } of world.runs) counts.set(key, (counts.get(key) ?? 0) + 1)
  return [...counts].filter(([, count]) => count > 1).map(([key, count]) => `twice: ${key} ran ${count} times`)
}

/** A "not run" for a key that had run, or that ran later through a call that was already under way. */
function checkRefusals (world: World): string[] {
  const violations: string[] = []
  for (const { id, key, answer } of world.calls.values()) {
    if (answer?.result.kind !== 'notRun') continue
    const wrong = world.runs.some(run => run.key === key &&
      (run.at <= answer.at || (world.calls.get(run.callId)?.arrivedAt ?? Infinity) <= answer.at))
    if (wrong) violations.push(`refusal: call ${id} of ${key} was answered "not run" (${answer.result.code})`)
  }
  return violations
}

/** A VM whose configuration differs from that of a reader of the whole stream. */
function checkConfig (world: World): string[] {
  const reference = ConfigState.create(world.sim.clock)
  for (const record of world.log.streams.config.all) reference.apply(record)
  const expected = JSON.stringify([reference.revision, reference.document])
  return world.alive
    .filter(vm => JSON.stringify([vm.config.revision, vm.config.document]) !== expected)
    .map(vm => `config: ${vm.member} has revision ${vm.config.revision}, the log ${reference.revision}`)
}

/** Share of calls answered with the upstream's response, among those that arrived in each part of a run. */
export interface OutageShares {
  readonly before: number
  readonly early: number
  readonly late: number
}

/** A fleet without other faults whose log, and on demand whose VM list, goes down for a long time. */
export function runOutage (withList: boolean): OutageShares {
  const world = new World(1, { timing: SHORT_TIMING, logRetentionMs: 60_000, vmCount: 6, upstreamFaults: false })
  const { sim } = world
  const parts = { before: [3_000, 10_000], early: [10_000, 11_500], late: [15_000, 60_000] } as const
  sim.after(10_000, () => {
    world.setLogDown(true)
    world.isListDown = withList
  })
  for (let at = 3_000; at < 60_000; at += 10) sim.after(at, () => world.submit(`k${at}`, 0))
  const start = sim.now
  sim.runFor(62_000)
  const share = ([from, to]: readonly [number, number]) => {
    const calls = [...world.calls.values()].filter(call => call.arrivedAt - start >= from && call.arrivedAt - start < to)
    return calls.filter(call => call.answer?.result.kind === 'response').length / calls.length
  }
  return { before: share(parts.before), early: share(parts.early), late: share(parts.late) }
}
