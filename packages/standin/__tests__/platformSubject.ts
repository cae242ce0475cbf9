import { FakeClock, type Milliseconds } from '@cowsliplead/core/types/clock.js'
import { HttpLog } from '@cowsliplead/daemon/core/control/httpLog.js'
import { HttpVmList } from '@cowsliplead/daemon/core/control/httpVmList.js'
import type { Log, Vm, VmList } from '@cowsliplead/daemon/types/platform.js'
import { PlatformStandin } from '../src/core/platformStandin.js'
import type { PlatformFaults } from '../src/types/platformOptions.js'

export const RETENTION_MS = 10_000
export const LIST_LAG_MS = 500

/** An implementation of the platform interface under test, with the means to bring its faults about. */
export interface PlatformSubject {
  log (clientId: string, timeoutMs: Milliseconds): Log
  vmList (clientId: string, timeoutMs: Milliseconds): VmList
  setFaults (faults: Partial<PlatformFaults>): void
  expire (stream: string, before: number): void
  putVm (vm: Vm): void
  markLeaving (id: string): void
  removeVm (id: string): void
  advance (duration: Milliseconds): void
  stop (): Promise<void>
}

/** The HTTP adapters against the stand-in. */
export async function createHttpSubject (): Promise<PlatformSubject> {
  const clock = FakeClock.create(1_000_000)
  const platform = PlatformStandin.create({ retentionMs: RETENTION_MS, listLagMs: LIST_LAG_MS }, clock)
  const url = await platform.start()
  return {
    log: (clientId, timeoutMs) => HttpLog.create({ url, clientId, timeoutMs }),
    vmList: (clientId, timeoutMs) => HttpVmList.create({ url, clientId, timeoutMs }),
    setFaults: faults => platform.faults.merge(faults),
    expire: (stream, before) => platform.log.expire(stream, before),
    putVm: vm => platform.vms.put(vm),
    markLeaving: id => void platform.vms.markLeaving(id),
    removeVm: id => platform.vms.remove(id),
    advance: duration => clock.advance(duration),
    stop: () => platform.stop()
  }
}
