import { FakeClock } from '@cowsliplead/core/types/clock.js'
import type { Measurement } from '../../types/capacity.js'
import { measureCpuMicros, measureHeapBytes, measureSizes } from './measure.js'
import { ServiceLoad } from './serviceLoad.js'

const UPSTREAM_COUNTS = [30, 120, 480, 2000]
const SCANNED_COUNTS = [8, 16, 32, 64]
const SERVICE_COUNTS = [1, 30, 300]
/** 2,000 upstreams in 300 services are 6.7 per service. */
const UPSTREAMS_PER_SERVICE = 7
const CONCURRENCY = 7
const WARM_UP_CALLS = 6_000
const MEASURED_CALLS = 20_000
const MEASURED_LIST_UPDATES = 40
const CLOCK_START_MS = 1_000_000

/** Measures heap and processor time of dispatchers by number of upstreams and of services. */
export function measureDispatchers (rounds: number): Measurement[] {
  compileHotPaths()
  return [
    measureSizes('Dispatcher: heap of one service', 'bytes', 'upstreams of the service', UPSTREAM_COUNTS, count => measureHeapBytes(() => createWarmServices(1, count))),
    measureSizes('Dispatcher: time per call', 'us', 'upstreams of the service', UPSTREAM_COUNTS, count => measureCallMicros(createWarmServices(1, count), rounds)),
    measureSizes('Dispatcher: time per call', 'us', 'upstreams scanned', SCANNED_COUNTS, count => measureCallMicros(createWarmServices(1, count), rounds)),
    measureSizes('Dispatcher: time per list of upstreams', 'us', 'upstreams of one service', UPSTREAM_COUNTS, count => measureListUpdateMicros(createWarmServices(1, count), rounds)),
    measureSizes('Dispatcher: heap of all services', 'bytes', `services of ${UPSTREAMS_PER_SERVICE} upstreams`, SERVICE_COUNTS,
      count => measureHeapBytes(() => createWarmServices(count, UPSTREAMS_PER_SERVICE))),
    measureSizes('Dispatcher: time per call', 'us', `services of ${UPSTREAMS_PER_SERVICE} upstreams`, SERVICE_COUNTS,
      count => measureCallMicros(createWarmServices(count, UPSTREAMS_PER_SERVICE), rounds)),
    measureSizes('Dispatcher: time per list of upstreams', 'us', `services of ${UPSTREAMS_PER_SERVICE} upstreams`, SERVICE_COUNTS,
      count => measureListUpdateMicros(createWarmServices(count, UPSTREAMS_PER_SERVICE), rounds))
  ]
}

/** Runs all sizes once, so that code is optimized for all of them before the first measurement. */
function compileHotPaths (): void {
  for (const count of [...SCANNED_COUNTS, ...UPSTREAM_COUNTS]) measureCallMicros(createWarmServices(1, count), 1)
}

/** Creates services that have already handled calls, so that their learned statistics are populated. */
function createWarmServices (count: number, upstreamCount: number): ServiceLoad[] {
  const clock = FakeClock.create(CLOCK_START_MS)
  const loads = Array.from({ length: count }, (_, index) =>
    ServiceLoad.create({ clock, service: `service-${index}`, upstreamCount, concurrency: CONCURRENCY }))
  const callsPerService = Math.max(WARM_UP_CALLS / count, 100)
  for (const load of loads) {
    for (let call = 0; call < callsPerService; call++) load.simulateCall()
    if (load.finishedCalls < callsPerService / 2) throw new Error(`only ${load.finishedCalls} of ${callsPerService} warm-up calls finished`)
  }
  return loads
}

function measureCallMicros (loads: readonly ServiceLoad[], rounds: number): number {
  let next = 0
  return measureCpuMicros(() => loads[next++ % loads.length]?.simulateCall(), MEASURED_CALLS, rounds)
}

function measureListUpdateMicros (loads: readonly ServiceLoad[], rounds: number): number {
  return measureCpuMicros(() => {
    for (const load of loads) load.updateUpstreams()
  }, MEASURED_LIST_UPDATES, rounds)
}
