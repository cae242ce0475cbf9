import { ClaimLog } from '@cowsliplead/core/core/keyed/claimLog.js'
import type { ClaimsRecord } from '@cowsliplead/core/types/keyedRecords.js'
import { KEYED_TIMING } from '@cowsliplead/core/types/keyedTiming.js'
import type { Measurement } from '../../types/capacity.js'
import { KeyedFleet } from './keyedFleet.js'
import { cpuMicrosOf, heapBytesOf, measureSizes } from './measure.js'
import { createMembers } from './memberNames.js'

const KEYS_HELD = [10_000, 40_000, 100_000]
const KEYS_PER_WINDOW = [1, 8, 32]
const VMS = [6, 60, 240]
/** Holds renew ownership four times within the retention; a short one keeps the run short. */
const RETENTION_MS = 40_000
const SETTLING_MS = 4_000
const MAX_KEYS = 1_000_000
const WINDOWS = 400
const PARTITIONS = KEYED_TIMING.partitionCount

/** Keyed calls against the keys held and the keys of a claim window, and ownership against the number of VMs. */
export function measureKeyed (rounds: number): Measurement[] {
  const held = 'keys held'
  const window = 'keys per claim record'
  const vms = 'entry VMs'
  return [
    measureSizes('KeyedCalls: heap of the owner', 'bytes', held, KEYS_HELD, count => heapBytesOf(() => ownerWith(count))),
    measureSizes('ClaimLog: heap of any other VM', 'bytes', held, KEYS_HELD, count => heapBytesOf(() => readerWith(count))),
    measureSizes('KeyedCalls: time per keyed call, 32 per record', 'us', held, KEYS_HELD, count => timeOfWindow(32, rounds, count) / 32),
    measureSizes('KeyedCalls: time per claim record and its calls', 'us', window, KEYS_PER_WINDOW, count => timeOfWindow(count, rounds)),
    measureSizes('ClaimLog: time per record on any other VM', 'us', window, KEYS_PER_WINDOW, count => timeOfReading(count, rounds)),
    measureSizes('KeyedCalls: claim record', 'bytes', window, KEYS_PER_WINDOW, claimBytes),
    measureSizes('Ownership: heap of keyed calls per VM without keys', 'bytes', vms, VMS, count => heapBytesOf(() => settledFleet(count)) / count),
    measureSizes('Ownership: hold records of all VMs per renewal', 'bytes', vms, VMS, count => renewal(count).bytes),
    measureSizes('Ownership: hold records of all VMs per renewal', 'records', vms, VMS, count => renewal(count).records),
    measureSizes('Ownership: table for a starting VM', 'bytes', vms, VMS, tableBytes),
    measureSizes('Ownership: time per VM and second without calls', 'us', vms, VMS, count => timeOfIdling(count, rounds))
  ]
}

/** Keys as callers send them: 36 characters, as a UUID has. */
function createKeys (first: number, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `00000000-0000-4000-8000-${String(first + index).padStart(12, '0')}`)
}

/** One VM that owns all partitions and has run `count` keys. */
function ownerWith (count: number): KeyedFleet {
  const fleet = new KeyedFleet(1, RETENTION_MS, { maxKeys: MAX_KEYS })
  fleet.pass(SETTLING_MS)
  // Windows of 100 keys, so that filling does not take longer on the fake clock than keys are kept.
  for (let first = 0; first < count; first += 100) fleet.runWindow(createKeys(first, 100))
  if (fleet.answered !== count) throw new Error(`${fleet.answered} of ${count} keyed calls were answered`)
  return fleet
}

function timeOfWindow (keysPerWindow: number, rounds: number, held = 0): number {
  const fleet = ownerWith(held)
  const windows = Array.from({ length: WINDOWS * (rounds + 1) }, (_, index) => createKeys(held + index * keysPerWindow, keysPerWindow))
  let next = 0
  const runNext = (): void => fleet.runWindow(windows[next++] ?? [])
  for (let index = 0; index < WINDOWS; index++) runNext()
  const time = cpuMicrosOf(runNext, WINDOWS, rounds)
  if (fleet.answered !== held + windows.length * keysPerWindow) throw new Error('some keyed calls were not answered')
  return time
}

function claimBytes (keysPerWindow: number): number {
  const fleet = ownerWith(0)
  fleet.resetCounts()
  for (let index = 0; index < 10; index++) fleet.runWindow(createKeys(index * keysPerWindow, keysPerWindow))
  return fleet.appendedBytes.claims / fleet.appends.claims
}

/** The record of another VM. */
function claimRecord (batch: number, keysPerWindow: number): string {
  const [, owner = ''] = createMembers(2)
  const record: ClaimsRecord = {
    type: 'claims', version: 1, at: 1_000_000, owner, batch,
    claims: createKeys(batch * keysPerWindow, keysPerWindow)
      .map((key, index) => ({ key, partition: index % PARTITIONS, epoch: 100, fingerprint: 'f'.repeat(32) }))
  }
  return JSON.stringify(record)
}

function readerWith (count: number): ClaimLog {
  const reader = ClaimLog.create(KEYED_TIMING, MAX_KEYS)
  for (let batch = 0; batch < count / 100; batch++) reader.apply({ offset: batch, data: claimRecord(batch, 100) })
  if (reader.size !== count) throw new Error(`${reader.size} of ${count} claims are held`)
  return reader
}

function timeOfReading (keysPerWindow: number, rounds: number): number {
  const reader = ClaimLog.create(KEYED_TIMING, MAX_KEYS)
  const records = Array.from({ length: WINDOWS * (rounds + 1) }, (_, offset) => ({ offset, data: claimRecord(offset, keysPerWindow) }))
  let next = 0
  const readNext = (): void => {
    reader.apply(records[next++]!)
  }
  for (let index = 0; index < WINDOWS; index++) readNext()
  return cpuMicrosOf(readNext, WINDOWS, rounds)
}

/** VMs that own all partitions among them. */
function settledFleet (count: number): KeyedFleet {
  const fleet = new KeyedFleet(count, RETENTION_MS)
  fleet.pass(SETTLING_MS)
  const owned = fleet.vms.reduce((sum, vm) => sum + vm.ownedCount, 0)
  if (owned !== PARTITIONS) throw new Error(`${owned} of ${PARTITIONS} partitions have an owner`)
  return fleet
}

function renewal (count: number): { records: number, bytes: number } {
  const fleet = settledFleet(count)
  fleet.resetCounts()
  fleet.pass(RETENTION_MS / 4)
  if (fleet.appends.ownership === 0) throw new Error('no ownership was renewed')
  return { records: fleet.appends.ownership, bytes: fleet.appendedBytes.ownership }
}

function tableBytes (count: number): number {
  return Buffer.byteLength(JSON.stringify(settledFleet(count).vms[0]?.ownershipTable()))
}

function timeOfIdling (count: number, rounds: number): number {
  const fleet = settledFleet(count)
  return cpuMicrosOf(() => fleet.pass(1_000), Math.max(Math.round(60 / count), 2), rounds) / count
}
