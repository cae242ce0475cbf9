import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallKindName, CallRecord, Measurement } from '../../types/experiments.js'
import { isAnswered } from './checks.js'

/** A part of a run, from its start to the start of the next phase. */
export interface Phase {
  readonly name: string
  readonly from: Milliseconds
}

const MEASURED_KINDS: readonly CallKindName[] = ['lookup', 'issue', 'download']

/** Measures the share of calls answered, the share answered by their deadline, and latencies, by phase and kind. */
export function measurePhases (calls: readonly CallRecord[], phases: readonly Phase[]): Measurement[] {
  return phases.flatMap(({ name, from }, index) => {
    const to = phases[index + 1]?.from ?? Infinity
    const inPhase = calls.filter(({ startedAt }) => startedAt >= from && startedAt < to)
    return MEASURED_KINDS.flatMap(kind => measureKind(name, kind, inPhase.filter(({ plan }) => plan.kind === kind)))
  })
}

/** Counts how calls without an upstream's response ended, most frequent outcome first. */
export function countUnansweredCalls (calls: readonly CallRecord[]): Measurement[] {
  const counts = new Map<string, number>()
  for (const call of calls.filter(call => !isAnswered(call))) {
    const last = call.sends.at(-1)
    const ending = `${call.plan.kind}: ${last?.code ?? last?.outcome} ${last?.detail.slice(0, 60)}`
    counts.set(ending, (counts.get(ending) ?? 0) + 1)
  }
  return [...counts].sort((a, b) => b[1] - a[1]).map(([end, count]) => ({ name: `not answered, ${end}`, value: String(count) }))
}

/** Formats the median, 99th percentile and maximum of `times`. */
export function summarizeTimes (times: readonly Milliseconds[]): string {
  if (times.length === 0) return 'none'
  const sorted = [...times].sort((a, b) => a - b)
  const percentile = (share: number) => (sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] as number).toFixed(0)
  return `p50 ${percentile(0.5)} ms, p99 ${percentile(0.99)} ms, max ${percentile(1)} ms of ${sorted.length}`
}

function measureKind (phase: string, kind: CallKindName, calls: readonly CallRecord[]): Measurement[] {
  if (calls.length === 0) return []
  const answered = calls.filter(isAnswered)
  const onTime = answered.filter(call => durationOf(call) <= call.plan.deadlineMs)
  const value = `${formatPercent(onTime.length, calls.length)} on time, ${formatPercent(answered.length, calls.length)} answered of ${calls.length}; ` +
    summarizeTimes(answered.map(durationOf))
  return [{ name: `${phase}, ${kind}`, value }]
}

function durationOf ({ startedAt, sends }: CallRecord): Milliseconds {
  const last = sends.at(-1)
  return last === undefined ? 0 : last.sentAt + last.durationMs - startedAt
}

function formatPercent (part: number, total: number): string {
  return `${(100 * part / total).toFixed(2)}%`
}
