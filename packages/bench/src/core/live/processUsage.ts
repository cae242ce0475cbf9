import { readFileSync } from 'node:fs'

/** Processor time and memory of a process, read from the proc file system. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly residentBytes: number
  readonly peakResidentBytes: number
}

/** Linux reports processor time to user space in ticks of 10 ms. */
const MS_PER_TICK = 10
const BYTES_PER_KIB = 1024

/** Reads the current usage of the process `pid`; its processor time counts from its start. */
export function readProcessUsage (pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The command name may contain spaces, so fields are split after it. User and system time are fields 14 and 15.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[11]) + Number(fields[12])
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  return {
    cpuMs: ticks * MS_PER_TICK,
    residentBytes: parseKib(status, 'VmRSS') * BYTES_PER_KIB,
    peakResidentBytes: parseKib(status, 'VmHWM') * BYTES_PER_KIB
  }
}

function parseKib (status: string, field: string): number {
  const match = new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(status)
  return Number(match?.[1] ?? 0)
}
