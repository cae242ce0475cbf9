import { ExpectedDelayPicker } from '@cowsliplead/core/core/routing/expectedDelayPicker.js'
import { SlotSharePicker } from '@cowsliplead/core/core/routing/slotSharePicker.js'
import type { Picker } from '@cowsliplead/core/types/picker.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from '@cowsliplead/core/types/routingPolicy.js'
import { LeastLocalPicker } from '../pickers/leastLocalPicker.js'
import { ProbePoolPicker } from '../pickers/probePoolPicker.js'
import { RandomPicker } from '../pickers/randomPicker.js'
import { ReportedTwoChoicesPicker } from '../pickers/reportedTwoChoicesPicker.js'
import { RoundRobinPicker } from '../pickers/roundRobinPicker.js'
import { TwoChoicesPicker } from '../pickers/twoChoicesPicker.js'

/** A factory for the picker of each VM, and the routing policy of its dispatcher. */
export interface BenchPolicy {
  readonly createPicker: () => Picker
  readonly policy: RoutingPolicy
}

/** Name of the oracle, the upper limit that policies are compared with. */
export const ORACLE_POLICY = 'oracle'

/** Name of the policy that the daemon ships with. */
export const SHIPPED_POLICY = 'ours'

/** For two random choices as commonly deployed: no hedging, no ejection, no early refusal. */
const CONVENTIONAL_POLICY: RoutingPolicy = {
  ...DEFAULT_ROUTING_POLICY,
  queueAllowanceCalls: 1000,
  queueWaitShare: Infinity,
  hedgeReserveCalls: Infinity,
  ejectionCapacityShare: 0
}

/**
 * For the baseline that depends on probes. The measuring budget would block nearly all of them, so it is lifted; probes
 * are still counted.
 */
const PROBING_POLICY: RoutingPolicy = {
  ...DEFAULT_ROUTING_POLICY,
  measuringMessagesPerSecond: 1_000_000,
  measuringMessagesPerUpstreamSecond: 1_000_000,
  measuringBytesPerSecond: 1_000_000_000
}

const POLICIES: Readonly<Record<string, BenchPolicy>> = {
  random: { createPicker: RandomPicker.create, policy: DEFAULT_ROUTING_POLICY },
  roundRobin: { createPicker: RoundRobinPicker.create, policy: DEFAULT_ROUTING_POLICY },
  leastLocal: { createPicker: LeastLocalPicker.create, policy: DEFAULT_ROUTING_POLICY },
  twoChoices: { createPicker: TwoChoicesPicker.create, policy: DEFAULT_ROUTING_POLICY },
  reportedTwoChoices: { createPicker: ReportedTwoChoicesPicker.create, policy: DEFAULT_ROUTING_POLICY },
  probePool: { createPicker: ProbePoolPicker.create, policy: PROBING_POLICY },
  slotShare: { createPicker: SlotSharePicker.create, policy: DEFAULT_ROUTING_POLICY },
  conventional: { createPicker: TwoChoicesPicker.create, policy: CONVENTIONAL_POLICY },
  [SHIPPED_POLICY]: { createPicker: () => ExpectedDelayPicker.create(), policy: DEFAULT_ROUTING_POLICY }
}

/** Names of all policies, the oracle included. */
export const POLICY_NAMES: readonly string[] = [...Object.keys(POLICIES), ORACLE_POLICY]

/** Names of the policies that the shipped policy is compared with, the oracle excluded. */
export const BASELINE_NAMES: readonly string[] = Object.keys(POLICIES).filter(name => name !== SHIPPED_POLICY)

/** Returns the policy with this name. */
export function getPolicy (name: string): BenchPolicy {
  const policy = POLICIES[name]
  if (policy === undefined) throw new Error(`unknown policy ${name}; expected one of ${POLICY_NAMES.join(', ')}`)
  return policy
}
