import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const MEGABYTE = 1024 * 1024

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** Megabytes of memory that this process still refers to. */
export function heldMegabytes (): number {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return (heapUsed + external) / MEGABYTE
}
