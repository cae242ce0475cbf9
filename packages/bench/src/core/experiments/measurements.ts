import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { CallKindName, CallRecord, Measurement } from '../../types/experiments.js'
import { isAnswered } from './checks.js'

/** A part of a run; ends where the next one starts. */
export interface Phase {
  readonly name: string
  readonly from: Milliseconds
}

const KINDS: readonly CallKindName[] = ['lookup', 'issue', 'download']

/** Share of calls answered at all and on time, by phase and kind. */
export function measurePhases (calls: readonly CallRecord[], phases: readonly Phase[]): Measurement[] {
  return phases.flatMap(({ name, from }, index) => {
    const to = phases[index + 1]?.from ?? Infinity
    const inPhase = calls.filter(({ startedAt }) => startedAt >= from && startedAt < to)
    return KINDS.flatMap(kind => measureKind(name, kind, inPhase.filter(({ plan }) => plan.kind === kind)))
  })
}

/** How calls without an upstream's response ended, most frequent first. */
export function measureOtherEnds (calls: readonly CallRecord[]): Measurement[] {
  const counts = new Map<string, number>()
  for (const call of calls.filter(call => !isAnswered(call))) {
    const last = call.sends.at(-1)
    const end = `${call.plan.kind}: ${last?.code ?? last?.outcome} ${last?.detail.slice(0, 60)}`
    counts.set(end, (counts.get(end) ?? 0) + 1)
  }
  return [...counts].sort((a, b) => b[1] - a[1]).map(([end, count]) => ({ name: `not answered, ${end}`, value: String(count) }))
}

/** Middle, 99th percentile and largest of some times. */
export function summarizeTimes (times: readonly Milliseconds[]): string {
  if (times.length === 0) return 'none'
  const sorted = [...times].sort((a, b) => a - b)
  const at = (share: number) => (sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] as number).toFixed(0)
  return `p50 ${at(0.5)} ms, p99 ${at(0.99)} ms, max ${at(1)} ms of ${sorted.length}`
}

function measureKind (phase: string, kind: CallKindName, calls: readonly CallRecord[]): Measurement[] {
  if (calls.length === 0) return []
  const answered = calls.filter(isAnswered)
  const onTime = answered.filter(call => durationOf(call) <= call.plan.deadlineMs)
  const value = `${toPercent(onTime.length, calls.length)} on time, ${toPercent(answered.length, calls.length)} answered of ${calls.length}; ` +
    summarizeTimes(answered.map(durationOf))
  return [{ name: `${phase}, ${kind}`, value }]
}

function durationOf ({ startedAt, sends }: CallRecord): Milliseconds {
  const last = sends.at(-1)
  return last === undefined ? 0 : last.at + last.tookMs - startedAt
}

function toPercent (part: number, whole: number): string {
  return `${(100 * part / whole).toFixed(2)}%`
}
