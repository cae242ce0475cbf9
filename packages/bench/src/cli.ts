import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { checkBounds } from './core/decisions/checkBounds.js'
import { SHAPES } from './core/decisions/loadMix.js'
import { POLICY_NAMES } from './core/decisions/policies.js'
import { createReport, formatMarkdown, formatMissed } from './core/decisions/report.js'
import { runInWorkers } from './core/decisions/runInWorkers.js'
import { SCENARIOS } from './core/decisions/scenarios.js'
import type { DecisionsOptions } from './types/decisions.js'

const DEFAULT_SEED = 1
const DEFAULT_WORKERS = 4

const parser = yargs(hideBin(process.argv))
  .scriptName('bench')
  .usage('$0 [options]\n\nCompares routing policies on simulated upstreams with a fake clock.')
  .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'random seed; equal seeds give equal rows' })
  .option('scenario', { type: 'string', array: true, choices: SCENARIOS.map(({ name }) => name), describe: 'run only these scenarios' })
  .option('shape', { type: 'string', array: true, choices: SHAPES.map(({ name }) => name), describe: 'run only these service shapes' })
  .option('policy', { type: 'string', array: true, choices: POLICY_NAMES, describe: 'run only these policies' })
  .option('entries', { type: 'number', describe: 'number of entry VMs; 6 by default' })
  .option('quick', { type: 'boolean', default: false, describe: 'shorten the measured part of each run' })
  .option('workers', { type: 'number', default: DEFAULT_WORKERS, describe: 'number of worker threads; does not affect the rows' })
  .option('json', { type: 'string', describe: 'write the JSON report to this file' })
  .option('markdown', { type: 'string', describe: 'write the Markdown report to this file instead of standard output' })
  .option('check', { type: 'boolean', default: false, describe: 'exit with status 1 if any bound is missed' })
  .conflicts('check', 'policy')
  .strict()

async function main (): Promise<void> {
  const args = await parser.parse()
  const options: DecisionsOptions = {
    seed: args.seed,
    ...(args.scenario !== undefined && { scenarios: args.scenario }),
    ...(args.shape !== undefined && { shapes: args.shape }),
    ...(args.policy !== undefined && { policies: args.policy }),
    ...(args.entries !== undefined && { entryCount: args.entries }),
    quick: args.quick
  }
  const rows = await runInWorkers(options, args.workers)
  const missed = args.policy === undefined ? checkBounds(rows) : []
  const report = createReport(options, rows, missed)
  if (args.json !== undefined) writeFileSync(args.json, `${JSON.stringify(report, undefined, 2)}\n`)
  if (args.markdown !== undefined) writeFileSync(args.markdown, formatMarkdown(report))
  else console.log(formatMarkdown(report))
  if (!args.check || missed.length === 0) return
  console.error([`${missed.length} bounds missed:`, ...formatMissed(missed)].join('\n'))
  process.exitCode = 1
}

await main()
