/** Measures the slopes in docs/CAPACITY.md: `npm run bench:capacity`. Runs in one process and enforces no bounds. */
import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { formatCapacity } from './core/capacity/capacityReport.js'
import { measureControl } from './core/capacity/controlCost.js'
import { measureCustomers } from './core/capacity/customerCost.js'
import { measureDispatchers } from './core/capacity/dispatcherCost.js'
import type { CapacityReport, Measurement } from './types/capacity.js'

const GROUPS = {
  dispatcher: async (rounds: number) => measureDispatchers(rounds),
  control: () => measureControl(),
  customers: async (rounds: number) => measureCustomers(rounds)
}

const args = yargs(hideBin(process.argv))
  .scriptName('bench:capacity')
  .option('rounds', { type: 'number', default: 5, describe: 'rounds of each processor time measurement; the median is reported' })
  .option('only', { choices: Object.keys(GROUPS) as Array<keyof typeof GROUPS>, array: true, describe: 'measure only these groups' })
  .option('json', { type: 'string', describe: 'write the report to this file' })
  .strict()
  .parseSync()

const groups = args.only ?? Object.keys(GROUPS) as Array<keyof typeof GROUPS>
const measurements: Measurement[] = []
for (const name of groups) measurements.push(...await GROUPS[name](args.rounds))
const report: CapacityReport = {
  command: ['npm run bench:capacity --', `--rounds ${args.rounds}`, ...args.only?.map(name => `--only ${name}`) ?? []].join(' '),
  node: process.version,
  rounds: args.rounds,
  measurements
}
if (args.json !== undefined) writeFileSync(args.json, `${JSON.stringify(report, undefined, 2)}\n`)
console.log(formatCapacity(report))
