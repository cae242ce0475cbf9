import type { Cell, Row } from '../../types/decisions.js'
import { Callers } from './callers.js'
import { DispatcherFleet } from './dispatcherFleet.js'
import { Oracle } from './oracle.js'
import { ORACLE_POLICY, getPolicy } from './policies.js'
import { Recorder } from './recorder.js'
import { Transport } from './transport.js'

/** Time after the last arrival by which every call must have ended under any policy. */
const SETTLE_MS = 1000

/** Simulates one policy over the calls of a cell and returns its row. */
export function runPolicy (cell: Cell, policyName: string): Row {
  const recorder = Recorder.create(cell)
  const transport = Transport.create(cell, recorder)
  const callers = Callers.create(cell, transport.events, recorder)
  const scheduler = policyName === ORACLE_POLICY
    ? Oracle.create(transport, callers)
    : DispatcherFleet.create(cell, transport, callers, getPolicy(policyName))
  callers.start(scheduler)
  transport.events.runUntil(cell.endAt + SETTLE_MS)
  if (callers.pendingCount > 0) throw new Error(`policy ${policyName} left ${callers.pendingCount} calls without a result`)
  return recorder.createRow(policyName)
}
