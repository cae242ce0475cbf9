import { raise } from '@cowsliplead/core/utils/raise.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import type { GetOptions } from '../../types/options.js'
import type { CommandContext } from '../../types/commandContext.js'
import type { Terminal } from '../../types/terminal.js'
import { formatTable } from '../../utils/formatTable.js'
import { resolveDaemons } from '../addresses.js'
import { fetchStatuses, type DaemonResponse } from '../daemonClient.js'
import { fetchNewestRecord, withPublisher } from '../policyStore.js'

/** Shows which revision is in force on each VM; raises `vmLagging` if a VM lags or does not answer. */
export async function get (options: GetOptions, context: CommandContext): Promise<number> {
  const { terminal } = context
  if (options.document) return printDocument(options, context)
  const daemons = resolveDaemons(options)
  const record = await withPublisher(options, context, fetchNewestRecord)
  const newest = record?.revision ?? 0
  const responses = await fetchStatuses(daemons, options.timeoutMs)
  const lagging = responses.filter(response => !isUpToDate(response, newest)).map(nameOf)
  if (options.json) terminal.out(JSON.stringify({ newestRevision: newest, vms: responses.map(toJson), lagging }))
  else printTable(newest, responses, terminal)
  if (lagging.length > 0) raise('vmLagging', `newest revision ${newest}; lagging: ${lagging.join(', ')}`)
  return 0
}

async function printDocument (options: GetOptions, context: CommandContext): Promise<number> {
  const record = await withPublisher(options, context, fetchNewestRecord)
  if (record === undefined) raise('notReady', 'no policy has been published yet')
  context.terminal.out(JSON.stringify(record.document, undefined, 2))
  return 0
}

function isUpToDate (response: DaemonResponse<DaemonStatus>, newest: number): boolean {
  return 'value' in response && response.value.policyRevision >= newest
}

function nameOf (response: DaemonResponse<DaemonStatus>): string {
  return 'value' in response ? response.value.vmId : response.address
}

function toJson (response: DaemonResponse<DaemonStatus>): object {
  const { address } = response
  if ('problem' in response) return { address, problem: response.problem }
  const { vmId, failureDomain, policyRevision, configVersion } = response.value
  return { address, vmId, failureDomain, policyRevision, configVersion }
}

function printTable (newest: number, responses: readonly DaemonResponse<DaemonStatus>[], terminal: Terminal): void {
  terminal.out(`newest revision ${newest}`)
  const rows = responses.map(response => {
    if ('problem' in response) return [response.address, '-', '-', '-', `lags: ${response.problem}`]
    const { vmId, failureDomain, policyRevision, configVersion } = response.value
    return [vmId, failureDomain, String(policyRevision), String(configVersion ?? '-'), isUpToDate(response, newest) ? '' : 'lags']
  })
  formatTable([['VM', 'DOMAIN', 'REVISION', 'ROUTES', ''], ...rows]).forEach(line => terminal.out(line))
}
