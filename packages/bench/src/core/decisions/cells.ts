import type { Cell, DecisionsOptions, Scenario, ServiceShape } from '../../types/decisions.js'
import { hashText } from '../../utils/seededHash.js'
import { SHAPES } from './loadMix.js'
import { SCENARIOS, WARM_UP_MS } from './scenarios.js'
import { planUpstreams } from './upstreamPlans.js'
import { planCalls } from './workload.js'

const MEASURED_MS = 1000
const QUICK_MEASURED_MS = 400
const ENTRY_COUNT = 6

/** Names of the scenario and of the service shape that make up a cell. */
export interface CellName {
  readonly scenario: string
  readonly shape: string
}

/** Lists the cells selected by the options: every selected scenario with every selected service shape. */
export function listCells (options: DecisionsOptions): CellName[] {
  const scenarios = selectByName(SCENARIOS, options.scenarios, 'scenario')
  const shapes = selectByName(SHAPES, options.shapes, 'shape')
  return scenarios.flatMap(scenario => shapes.map(shape => ({ scenario: scenario.name, shape: shape.name })))
}

/** Plans the upstreams and calls of a cell. Deterministic: equal options give equal cells. */
export function createCell (name: CellName, options: DecisionsOptions): Cell {
  const scenario = selectByName(SCENARIOS, [name.scenario], 'scenario')[0]!
  const shape = selectByName(SHAPES, [name.shape], 'shape')[0]!
  return planCell(scenario, shape, options)
}

function planCell (scenario: Scenario, shape: ServiceShape, options: DecisionsOptions): Cell {
  const seed = options.seed ^ hashText(`${scenario.name}/${shape.name}`)
  const entryCount = options.entryCount ?? ENTRY_COUNT
  const endAt = WARM_UP_MS + (options.measuredMs ?? (options.quick === true ? QUICK_MEASURED_MS : MEASURED_MS))
  const plans = planUpstreams(shape, seed, endAt)
  scenario.prepare?.(plans)
  const calls = planCalls({ seed, scenario, plans, entryCount, measuredFrom: WARM_UP_MS, endAt })
  return { scenario, shape, seed, entryCount, endAt, plans, calls }
}

function selectByName<T extends { readonly name: string }> (
  items: readonly T[],
  names: readonly string[] | undefined,
  itemType: string
): readonly T[] {
  if (names === undefined || names.length === 0) return items
  return names.map(name => {
    const item = items.find(candidate => candidate.name === name)
    if (item === undefined) throw new Error(`unknown ${itemType} ${name}; expected one of ${items.map(candidate => candidate.name).join(', ')}`)
    return item
  })
}
