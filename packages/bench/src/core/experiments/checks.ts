import type { CallKindName, CallRecord, Check, RunTally, SendRecord } from '../../types/experiments.js'

/** Every complete response belongs to its request. */
export function checkResponses (calls: readonly CallRecord[]): Check {
  return checkSends('responses belong to their requests', calls, ({ outcome }) => outcome === 'wrong')
}

/** No send lost its connection or timed out without a complete response. */
export function checkNoCutCalls (calls: readonly CallRecord[]): Check {
  return checkSends('no cut call', calls, ({ outcome }) => outcome === 'cut' || outcome === 'timeout')
}

/** No non-idempotent call ran more than once on the upstreams. */
export function checkNoRepeatedRuns (calls: readonly CallRecord[], runs: RunTally): Check {
  const examined = calls.filter(({ plan }) => plan.method === 'POST')
  const violations = examined.flatMap(call => {
    const count = countRuns(call, runs)
    return count > 1 ? [`${describeCall(call)} ran ${count} times`] : []
  })
  return { name: 'no doubled run', examined: examined.length, violations }
}

/** A send refused as "not run" ran neither before nor after the refusal. */
export function checkNotRunRefusals (calls: readonly CallRecord[], runs: RunTally): Check {
  const examined = calls.filter(({ sends }) => sends.some(({ outcome }) => outcome === 'notRun'))
  const violations = examined.filter(({ plan }) => plan.kind !== 'crashing').flatMap(call => {
    const ran = call.sends.some(({ id, outcome }) => outcome === 'notRun' && (runs.bySend.get(id) ?? 0) > 0)
    return ran ? [`${describeCall(call)} ran although it was refused as "not run"`] : []
  })
  return { name: 'no "not run" for a call that ran', examined: examined.length, violations }
}

/** Each answered non-idempotent call ran. Calls answered by killed upstreams are skipped: their counts are incomplete. */
export function checkAnsweredCallsRan (calls: readonly CallRecord[], runs: RunTally, killedUpstreams: ReadonlySet<string>): Check {
  const examined = calls.filter(call => call.plan.method === 'POST' && isAnswered(call) && !killedUpstreams.has(lastSend(call).upstreamId as string))
  const violations = examined.filter(call => countRuns(call, runs) === 0).map(call => `${describeCall(call)} was answered but did not run on any upstream`)
  return { name: 'answered calls ran', examined: examined.length, violations }
}

/** Each run that upstreams counted has the id of a recorded send; otherwise the other checks would miss runs. */
export function checkRunsMatchSends (calls: readonly CallRecord[], runs: RunTally): Check {
  const sendIds = new Set(calls.flatMap(call => call.sends.map(({ id }) => id)))
  const unknownIds = [...runs.bySend.keys()].filter(id => !sendIds.has(id))
  return { name: 'each run belongs to a send', examined: runs.bySend.size, violations: unknownIds.map(id => `an upstream ran a request with the unknown id ${id}`) }
}

/** Calls of each kind were answered; otherwise the other checks would pass without examining anything. */
export function checkCoverage (calls: readonly CallRecord[], kinds: readonly CallKindName[]): Check {
  const violations = kinds
    .filter(kind => !calls.some(call => call.plan.kind === kind && isAnswered(call)))
    .map(kind => `no ${kind} call was answered`)
  return { name: 'each kind was answered', examined: kinds.length, violations }
}

/** The checks common to all experiments that generate load. */
export function checkCalls (calls: readonly CallRecord[], runs: RunTally, kinds: readonly CallKindName[], killedUpstreams: ReadonlySet<string> = new Set()): Check[] {
  return [
    checkCoverage(calls, kinds),
    checkResponses(calls),
    checkRunsMatchSends(calls, runs),
    checkNoRepeatedRuns(calls, runs),
    checkNotRunRefusals(calls, runs),
    checkAnsweredCallsRan(calls, runs, killedUpstreams)
  ]
}

/** Whether the last send of the call got the complete response of an upstream. */
export function isAnswered (call: CallRecord): boolean {
  return call.sends.at(-1)?.outcome === 'answered'
}

function checkSends (name: string, calls: readonly CallRecord[], isViolation: (send: SendRecord) => boolean): Check {
  const violations = calls.flatMap(call => call.sends.filter(isViolation)
    .map(send => `${describeCall(call)}: ${send.id} at ${send.entryId}: ${send.outcome} ${send.detail}`))
  return { name, examined: calls.reduce((sum, { sends }) => sum + sends.length, 0), violations }
}

function countRuns (call: CallRecord, runs: RunTally): number {
  return call.sends.reduce((sum, { id }) => sum + (runs.bySend.get(id) ?? 0), 0)
}

/** The request and the outcomes of its last sends, by entry VM. */
function describeCall ({ plan, sends }: CallRecord): string {
  const outcomes = sends.map(({ entryId, outcome, code }) => `${entryId}:${code ?? outcome}`).slice(-6).join(' ')
  return `${plan.kind} ${plan.path} (${outcomes})`
}

function lastSend (call: CallRecord): SendRecord {
  return call.sends.at(-1) as SendRecord
}
