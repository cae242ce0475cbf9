import type { Scenario, UpstreamPlan } from '../../types/decisions.js'

/** Time for policies to learn before calls are measured. */
export const WARM_UP_MS = 300

/** Start of faults: shortly after the start of the measured part, so that the reaction to the fault is measured. */
export const FAULT_AT_MS = 400

const SLOW_FACTOR = 10
const COLD_MS = 2000
const REPORT_LAG_MS = 500
const SWING_PERIOD_MS = 100
const SWING_RAMP_MS = 10

/** A load that the remaining capacity can serve while a fault lasts. */
const FAULT_LOAD = 0.6

/** A lower load for three slow upstreams: they make up half of the capacity of the smallest service. */
const THREE_SLOW_LOAD = 0.42

function constantLoad (load: number): () => number {
  return () => load
}

/** Rises from 30 to 95% within `SWING_RAMP_MS`, and falls back half a period later. */
function swingingLoad (now: number): number {
  const phase = now % SWING_PERIOD_MS
  const halfPeriod = SWING_PERIOD_MS / 2
  const share = phase < halfPeriod ? phase / SWING_RAMP_MS : 1 - (phase - halfPeriod) / SWING_RAMP_MS
  return 0.3 + 0.65 * Math.min(1, Math.max(0, share))
}

/** Returns a function that changes `count` plans, spread evenly over the list and thus over failure domains. */
function changePlans (count: number, change: (plan: UpstreamPlan) => void): (plans: UpstreamPlan[]) => void {
  return plans => {
    const step = Math.max(1, Math.floor(plans.length / count))
    for (let index = 0; index < count; index += 1) change(plans[(index * step + 1) % plans.length]!)
  }
}

function slowDown (plan: UpstreamPlan): void {
  plan.slowFrom = FAULT_AT_MS
  plan.slowFactor = SLOW_FACTOR
}

function drainQuarter (plans: UpstreamPlan[]): void {
  changePlans(Math.round(plans.length / 4), plan => {
    plan.drainFrom = FAULT_AT_MS
  })(plans)
}

function joinCold (plan: UpstreamPlan): void {
  plan.joinAt = FAULT_AT_MS
  plan.coldMs = COLD_MS
}

/** Makes about a tenth of the upstreams always report an empty load, and as many a full one. */
function misreport (plans: UpstreamPlan[]): void {
  const countPerMode = Math.max(1, Math.round(plans.length / 10))
  for (let index = 0; index < countPerMode; index += 1) {
    plans[index]!.reportMode = 'alwaysEmpty'
    plans[plans.length - 1 - index]!.reportMode = 'alwaysFull'
  }
}

/** Assigns speeds from 0.5 to 2 in equal ratios, permuted so that failure domains have similar capacity. */
function spreadSpeeds (plans: UpstreamPlan[]): void {
  for (const [index, plan] of plans.entries()) {
    const position = (index * 7 % plans.length) / (plans.length - 1)
    plan.speed = 0.5 * Math.pow(4, position)
  }
}

/** All scenarios. Steady ones, in which nothing fails or changes, have the stricter latency bound. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'steady50', class: 'steady', loadAt: constantLoad(0.5) },
  { name: 'steady70', class: 'steady', loadAt: constantLoad(0.7) },
  { name: 'steady85', class: 'steady', loadAt: constantLoad(0.85) },
  { name: 'speedSpread', class: 'steady', loadAt: constantLoad(0.7), prepare: spreadSpeeds },
  { name: 'unevenSplit', class: 'steady', loadAt: constantLoad(0.7), entryShares: [0.4, 0.2, 0.15, 0.1, 0.1, 0.05] },
  { name: 'swing', class: 'fault', loadAt: swingingLoad },
  { name: 'oneSlow', class: 'fault', loadAt: constantLoad(FAULT_LOAD), prepare: changePlans(1, slowDown) },
  { name: 'threeSlow', class: 'fault', loadAt: constantLoad(THREE_SLOW_LOAD), prepare: changePlans(3, slowDown) },
  {
    name: 'failFast',
    class: 'fault',
    loadAt: constantLoad(FAULT_LOAD),
    prepare: changePlans(1, plan => {
      plan.failFrom = FAULT_AT_MS
    })
  },
  { name: 'twoCold', class: 'fault', loadAt: constantLoad(FAULT_LOAD), prepare: changePlans(2, joinCold) },
  { name: 'quarterDraining', class: 'fault', loadAt: constantLoad(FAULT_LOAD), prepare: drainQuarter },
  {
    name: 'lateReports',
    class: 'fault',
    loadAt: constantLoad(0.7),
    prepare: plans => {
      for (const plan of plans) plan.reportLagMs = REPORT_LAG_MS
    }
  },
  { name: 'misleadingReports', class: 'fault', loadAt: constantLoad(0.7), prepare: misreport },
  { name: 'entryLost', class: 'fault', loadAt: constantLoad(FAULT_LOAD), entryLostAt: FAULT_AT_MS },
  { name: 'crashingRequest', class: 'fault', loadAt: constantLoad(FAULT_LOAD), crashingRequestAt: FAULT_AT_MS },
  { name: 'overload130', class: 'fault', loadAt: constantLoad(1.3) }
]
