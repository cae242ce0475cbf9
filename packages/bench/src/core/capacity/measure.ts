import type { Measurement, Point } from '../../types/capacity.js'
import { fitLine } from './lineFit.js'

/** Bytes in use after garbage collection, inside and outside the JavaScript heap; needs `node --expose-gc`. */
function reachableBytes (): number {
  if (globalThis.gc === undefined) throw new Error('heap measurements need node --expose-gc; use npm run bench:capacity')
  // A second collection frees what finalizers of the first one released.
  globalThis.gc()
  globalThis.gc()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

const HEAP_READINGS = 5

/** Bytes retained by the result of `build`: the median of several builds. */
export function measureHeapBytes (build: () => object): number {
  // The first build is not measured: it also compiles code and fills long-lived caches.
  build()
  return median(Array.from({ length: HEAP_READINGS }, () => measureBuildBytes(build)))
}

function measureBuildBytes (build: () => object): number {
  const before = reachableBytes()
  const retained = [build()]
  const after = reachableBytes()
  // Released only here, so that the result cannot be collected before the second reading.
  retained.pop()
  return after - before
}

/**
 * Processor time of one repetition of `action` in microseconds: the median over rounds, so that one disturbed round
 * does not distort it. Includes all threads of the process, also those of the garbage collector.
 */
export function measureCpuMicros (action: () => void, repetitions: number, rounds: number): number {
  const results = Array.from({ length: rounds }, () => {
    const before = process.cpuUsage()
    for (let index = 0; index < repetitions; index++) action()
    const { user, system } = process.cpuUsage(before)
    return (user + system) / repetitions
  })
  return median(results)
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

/** Measures one quantity at each size and fits a line through the points. */
export function measureSizes (name: string, unit: string, sizeOf: string, sizes: readonly number[], measureAt: (size: number) => number): Measurement {
  const points: Point[] = sizes.map(size => ({ size, value: measureAt(size) }))
  return { name, unit, sizeOf, points, line: fitLine(points) }
}
