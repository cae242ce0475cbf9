import { raise } from '@cowsliplead/core/utils/raise.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import type { GetOptions } from '../../types/options.js'
import type { Surroundings } from '../../types/surroundings.js'
import type { Terminal } from '../../types/terminal.js'
import { formatTable } from '../../utils/formatTable.js'
import { resolveDaemons } from '../connection.js'
import { askStatus, type DaemonAnswer } from '../daemons.js'
import { fetchNewest, withPublisher } from '../policyStore.js'

/** Shows which revision is in force on each VM; ends with `vmLagging` where a VM lags or does not answer. */
export async function get (options: GetOptions, surroundings: Surroundings): Promise<number> {
  const { terminal } = surroundings
  if (options.document) return printDocument(options, surroundings)
  const daemons = resolveDaemons(options)
  const record = await withPublisher(options, surroundings, fetchNewest)
  const newest = record?.revision ?? 0
  const answers = await askStatus(daemons, options.timeoutMs)
  const lagging = answers.filter(answer => !hasRevision(answer, newest)).map(nameOf)
  if (options.json) terminal.out(JSON.stringify({ newestRevision: newest, vms: answers.map(toJson), lagging }))
  else printTable(newest, answers, terminal)
  if (lagging.length > 0) raise('vmLagging', `newest revision ${newest}; lagging: ${lagging.join(', ')}`)
  return 0
}

async function printDocument (options: GetOptions, surroundings: Surroundings): Promise<number> {
  const record = await withPublisher(options, surroundings, fetchNewest)
  if (record === undefined) raise('notReady', 'no policy was published yet')
  surroundings.terminal.out(JSON.stringify(record.document, undefined, 2))
  return 0
}

function hasRevision (answer: DaemonAnswer<DaemonStatus>, revision: number): boolean {
  return 'value' in answer && answer.value.policyRevision >= revision
}

function nameOf (answer: DaemonAnswer<DaemonStatus>): string {
  return 'value' in answer ? answer.value.vmId : answer.address
}

function toJson (answer: DaemonAnswer<DaemonStatus>): object {
  const { address } = answer
  if ('problem' in answer) return { address, problem: answer.problem }
  const { vmId, failureDomain, policyRevision, configVersion } = answer.value
  return { address, vmId, failureDomain, policyRevision, configVersion }
}

function printTable (newest: number, answers: readonly DaemonAnswer<DaemonStatus>[], terminal: Terminal): void {
  terminal.out(`newest revision ${newest}`)
  const rows = answers.map(answer => {
    if ('problem' in answer) return [answer.address, '-', '-', '-', `lags: ${answer.problem}`]
    const { vmId, failureDomain, policyRevision, configVersion } = answer.value
    return [vmId, failureDomain, String(policyRevision), String(configVersion ?? '-'), hasRevision(answer, newest) ? '' : 'lags']
  })
  formatTable([['VM', 'DOMAIN', 'REVISION', 'ROUTES', ''], ...rows]).forEach(line => terminal.out(line))
}
