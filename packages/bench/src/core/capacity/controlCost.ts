import { setTimeout as delay } from 'node:timers/promises'
import winston from 'winston'
import { FleetMembers } from '@cowsliplead/core/core/membership/fleetMembers.js'
import type { RouteConfig } from '@cowsliplead/core/types/routes.js'
import { ControlState, type ControlTarget } from '@cowsliplead/daemon/core/control/controlState.js'
import { Fleet } from '@cowsliplead/daemon/core/feed/fleet.js'
import { MEMBERS_GROUP } from '@cowsliplead/daemon/core/feed/membership.js'
import { FleetTable } from '@cowsliplead/daemon/core/control/fleetTable.js'
import { MonotonicClock } from '@cowsliplead/daemon/core/gateway/monotonicClock.js'
import type { Component } from '@cowsliplead/daemon/types/component.js'
import { LogStore } from '@cowsliplead/platform/logStore.js'
import { encodeUpstreamEntry } from '@cowsliplead/platform/standin/encodeUpstreamEntry.js'
import { StoreStandin, type StoreUsage } from '@cowsliplead/platform/standin/storeStandin.js'
import { UPSTREAMS_TOPIC } from '@cowsliplead/platform/standin/topics.js'
import type { Measurement, Point } from '../../types/capacity.js'
import { fitLine } from './lineFit.js'

const VM_COUNTS = [6, 18, 48]
const UPSTREAM_COUNTS = [36, 72, 150]
const DEFAULT_VM_COUNT = 6

/** More than the VMs of the largest fleet that is measured. */
const MAX_CONNECTIONS = 100
const DEFAULT_UPSTREAM_COUNT = 36
const HEARTBEAT_INTERVAL_MS = 1500
/** Time for VMs to register as members and connect to each other. */
const WARM_UP_MS = 5000
const MEASUREMENT_MS = 6000
const RENEWAL_MS = 2000

/** Whether upstreams rewrite their entries with each heartbeat, or only on changes. */
type RegistryWrites = 'heartbeats' | 'changes'

interface ControlRates {
  readonly callsPerVmSecond: number
  readonly bytesPerVmSecond: number
}

/** Measures store calls and bytes read per VM for following the control tables, by number of VMs and upstreams. */
export async function measureControl (): Promise<Measurement[]> {
  const measurements: Measurement[] = []
  for (const registryWrites of ['changes', 'heartbeats'] as const) {
    const rates: ControlRates[] = []
    for (const count of VM_COUNTS) rates.push(await measureRates(count, DEFAULT_UPSTREAM_COUNT, registryWrites))
    const calls = rates.map(({ callsPerVmSecond }) => callsPerVmSecond)
    measurements.push(createMeasurement(`Control: calls to the store per VM, entries written with ${registryWrites}`, '1/s', 'entry VMs', VM_COUNTS, calls))
  }
  const rates: ControlRates[] = []
  for (const count of UPSTREAM_COUNTS) rates.push(await measureRates(DEFAULT_VM_COUNT, count, 'heartbeats'))
  const bytes = rates.map(({ bytesPerVmSecond }) => bytesPerVmSecond)
  measurements.push(createMeasurement('Control: bytes read per VM, entries written with heartbeats', 'bytes/s', 'upstreams', UPSTREAM_COUNTS, bytes))
  return measurements
}

function createMeasurement (name: string, unit: string, sizeOf: string, sizes: readonly number[], values: readonly number[]): Measurement {
  const points: Point[] = sizes.map((size, index) => ({ size, value: values[index] as number }))
  return { name, unit, sizeOf, points, line: fitLine(points) }
}

async function measureRates (vmCount: number, upstreamCount: number, registryWrites: RegistryWrites): Promise<ControlRates> {
  const standin = await StoreStandin.start()
  const heartbeatTimer = startHeartbeats(standin, upstreamCount)
  if (registryWrites === 'changes') clearInterval(heartbeatTimer)
  const stopFunctions = await Promise.all(Array.from({ length: vmCount }, (_, index) => startVm(standin, `vm${index}`)))
  await delay(WARM_UP_MS)
  const before = standin.usage
  await delay(MEASUREMENT_MS)
  const rates = ratesOf(before, standin.usage, vmCount)
  clearInterval(heartbeatTimer)
  for (const stop of stopFunctions) await stop()
  standin.close()
  return rates
}

function ratesOf (before: StoreUsage, after: StoreUsage, vmCount: number): ControlRates {
  const perVmSecond = 1000 / MEASUREMENT_MS / vmCount
  return {
    callsPerVmSecond: (after.calls - before.calls) * perVmSecond,
    bytesPerVmSecond: (after.bytesRead - before.bytesRead) * perVmSecond
  }
}

/** Writes an entry for each upstream, then renews the entries in turn, each once per heartbeat interval. */
function startHeartbeats (standin: StoreStandin, upstreamCount: number): NodeJS.Timeout {
  let heartbeatCount = 0
  const writeHeartbeat = (): void => {
    const index = heartbeatCount++ % upstreamCount
    const id = `i-${String(index).padStart(10, '0')}`
    const identity = { id, service: 'permits', address: `10.0.${index % 8}.${index}:8080`, failureDomain: 'nyeri', slots: 4 }
    standin.put(UPSTREAMS_TOPIC, id, encodeUpstreamEntry(identity, { startedAt: 1_700_000_000_000, isDraining: false, sequence: heartbeatCount }))
  }
  for (let index = 0; index < upstreamCount; index++) writeHeartbeat()
  return setInterval(writeHeartbeat, HEARTBEAT_INTERVAL_MS / upstreamCount)
}

/** Starts the part of a daemon that follows the control tables; returns a function that stops it. */
async function startVm (standin: StoreStandin, vmId: string): Promise<() => Promise<void>> {
  const store = LogStore.create(standin.address)
  const clock = MonotonicClock.create()
  const logger = winston.createLogger({ silent: true })
  const services: ControlTarget = { config: undefined as RouteConfig | undefined, setConfig: () => {}, setEvacuatedDomains: () => {}, setUpstreams: () => {} }
  const fleet = Fleet.create({ maxConnections: MAX_CONNECTIONS, vmId, members: FleetMembers.create(vmId), failureDomain: 'nyeri', address: '127.0.0.1:0', store, clock, logger, onSizeChange: () => {} })
  const { feed, membership } = fleet
  const control = ControlState.create({ store, clock, services, logger, feed, renewalMs: RENEWAL_MS, onConfig: () => {} })
  const table = FleetTable.create({ store, clock, logger, feed, consumers: { [MEMBERS_GROUP]: membership } })
  const components: readonly Component[] = [fleet.server, ...control.readers, table.reader]
  for (const component of components) await component.start(throwError)
  fleet.start()
  return async () => {
    fleet.close()
    for (const component of components) await component.stop()
    control.close()
    store.close()
  }
}

function throwError (error: Error): never {
  throw error
}
