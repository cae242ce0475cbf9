/** Live benchmark: `npm run bench:live`. The machine is shared, so figures compare only within one run; no bounds apply. */
import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runLive, type LiveReport } from './core/live/liveBench.js'

const args = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1 })
  .option('upstreams', { type: 'number', default: 6 })
  .option('step-ms', { type: 'number', default: 4000, describe: 'recorded duration of each load step' })
  .option('start-rate', { type: 'number', default: 500, describe: 'calls per second of the first step' })
  .option('max-rate', { type: 'number', default: 12000, describe: 'highest rate to try, in calls per second' })
  .option('json', { type: 'string', describe: 'write the report to this file' })
  .strict()
  .parseSync()

const report = await runLive({
  seed: args.seed,
  upstreams: args.upstreams,
  stepMs: args.stepMs,
  startRate: args.startRate,
  maxRate: args.maxRate
})
if (args.json !== undefined) writeFileSync(args.json, JSON.stringify(report, null, 2) + '\n')
console.log(formatReport(report))

function formatReport (live: LiveReport): string {
  const latency = (name: string, { p50Ms, p99Ms, p999Ms }: LiveReport['direct']) =>
    `| ${name} | ${p50Ms.toFixed(2)} | ${p99Ms.toFixed(2)} | ${p999Ms.toFixed(2)} |`
  return [
    '| path | p50 ms | p99 ms | p99.9 ms |',
    '|---|---|---|---|',
    latency('direct to the upstream', live.direct),
    latency('through the daemon', live.throughDaemon),
    `| added | ${live.addedP50Ms.toFixed(2)} | ${live.addedP99Ms.toFixed(2)} | |`,
    '',
    `Sustained ${live.sustainableRate.toFixed(0)} calls/s; measured at ${live.measuredRate.toFixed(0)} calls/s.`,
    `${live.cpuUsPerCall.toFixed(0)} us of processor time per call, ${live.callsPerCoreSecond.toFixed(0)} calls per core and second.`,
    `Resident ${live.residentMiB.toFixed(0)} MiB, peak ${live.peakResidentMiB.toFixed(0)} MiB; ${(live.idleCpuShare * 100).toFixed(2)}% of a core without calls.`
  ].join('\n')
}
