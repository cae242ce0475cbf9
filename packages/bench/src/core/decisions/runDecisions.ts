import type { DecisionsOptions, Row } from '../../types/decisions.js'
import { createCell, listCells, type CellName } from './cells.js'
import { POLICY_NAMES } from './policies.js'
import { runPolicy } from './simulation.js'

/** Runs the decisions bench in the current thread. Deterministic: equal options give equal rows. */
export function runDecisions (options: DecisionsOptions): Row[] {
  return listCells(options).flatMap(name => runCell(name, options))
}

/** Runs the policies selected by the options, all by default, over one cell. */
export function runCell (name: CellName, options: DecisionsOptions): Row[] {
  const policies = options.policies === undefined || options.policies.length === 0 ? POLICY_NAMES : options.policies
  const cell = createCell(name, options)
  return policies.map(policy => runPolicy(cell, policy))
}
