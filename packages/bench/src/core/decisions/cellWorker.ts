import { parentPort } from 'node:worker_threads'
import type { DecisionsOptions } from '../../types/decisions.js'
import type { CellName } from './cells.js'
import { runCell } from './runDecisions.js'

/** Message that asks a worker thread to run one cell. */
export interface CellTask {
  /** Position of the cell in the report. */
  readonly index: number
  readonly cell: CellName
  readonly options: DecisionsOptions
}

parentPort?.on('message', (task: CellTask) => {
  parentPort?.postMessage({ index: task.index, rows: runCell(task.cell, task.options) })
})
