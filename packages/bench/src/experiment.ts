/** Runs one fault-injection experiment with real processes: `npm run experiment -- NAME [--seed N] [--json FILE]`. */
import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { EXPERIMENTS } from './core/experiments/experiments.js'
import { formatResult, hasPassed } from './core/experiments/report.js'
import type { Experiment } from './types/experiments.js'

const names = EXPERIMENTS.map(({ name }) => name)
const args = yargs(hideBin(process.argv))
  .usage(`$0 NAME\n\n${EXPERIMENTS.map(({ name, description }) => `${name}: ${description}`).join('\n')}`)
  .command('$0 <name>', false, command => command.positional('name', { choices: names, demandOption: true }))
  .option('seed', { type: 'number', default: 1 })
  .option('short', { type: 'boolean', default: false, describe: 'run the short form that the tests use' })
  .option('json', { type: 'string', describe: 'write measurements and checks to this file' })
  .strict()
  .parseSync()

const experiment = EXPERIMENTS.find(({ name }) => name === args.name) as Experiment
const options = { seed: args.seed, short: args.short }
const result = await experiment.run(options)
if (args.json !== undefined) writeFileSync(args.json, JSON.stringify({ name: experiment.name, ...options, ...result }, null, 2) + '\n')
console.log(formatResult(experiment.name, options, result))
process.exitCode = hasPassed(result) ? 0 : 1
