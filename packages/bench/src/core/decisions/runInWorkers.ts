import { Worker } from 'node:worker_threads'
import type { DecisionsOptions, Row } from '../../types/decisions.js'
import { listCells } from './cells.js'
import type { CellTask } from './cellWorker.js'

const WORKER_FILE = new URL('./cellWorker.js', import.meta.url)

/** Runs the decisions bench in worker threads; returns the same rows as `runDecisions`. */
export async function runInWorkers (options: DecisionsOptions, workerCount: number): Promise<Row[]> {
  const tasks: CellTask[] = listCells(options).map((cell, index) => ({ index, cell, options }))
  const results: Row[][] = []
  const pending = [...tasks]
  const workers = Array.from({ length: Math.min(workerCount, tasks.length) }, () => runWorker(pending, results))
  await Promise.all(workers)
  return results.flat()
}

/** Starts a worker that takes tasks until none is pending, then terminates it. */
function runWorker (pending: CellTask[], results: Row[][]): Promise<void> {
  const worker = new Worker(WORKER_FILE)
  return new Promise<void>((resolve, reject) => {
    const sendNextTask = (): void => {
      const task = pending.shift()
      if (task === undefined) resolve()
      else worker.postMessage(task)
    }
    worker.on('error', reject)
    worker.on('message', ({ index, rows }: { index: number, rows: Row[] }) => {
      results[index] = rows
      sendNextTask()
    })
    sendNextTask()
  }).finally(() => worker.terminate())
}
