import { raise } from '@cowsliplead/core/utils/raise.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import type { FleetOptions } from '../../types/options.js'
import type { Terminal } from '../../types/terminal.js'
import { formatTable } from '../../utils/formatTable.js'
import { resolveDaemons } from '../addresses.js'
import { fetchStatuses, type DaemonResponse } from '../daemonClient.js'

const HEADINGS = ['ADDRESS', 'VM', 'DOMAIN', 'READY', 'REVISION', 'ROUTES', 'STORE', 'IN FLIGHT', 'PROBLEMS']

/** Shows the state of each given daemon; fails only if none answers. */
export async function status (options: FleetOptions, terminal: Terminal): Promise<number> {
  const responses = await fetchStatuses(resolveDaemons(options), options.timeoutMs)
  if (!responses.some(response => 'value' in response)) {
    raise('daemonUnreachable', responses.map(response => `${response.address}: ${'problem' in response ? response.problem : ''}`).join('; '))
  }
  if (options.json) terminal.out(JSON.stringify(responses))
  else formatTable([HEADINGS, ...responses.map(toRow)]).forEach(line => terminal.out(line))
  return 0
}

function toRow (response: DaemonResponse<DaemonStatus>): string[] {
  if ('problem' in response) return [response.address, '-', '-', '-', '-', '-', '-', '-', response.problem]
  const { vmId, failureDomain, ready, policyRevision, configVersion, storeAgeMs, callsInFlight, reasons } = response.value
  return [
    response.address, vmId, failureDomain, ready ? 'yes' : 'no', String(policyRevision), String(configVersion ?? '-'),
    storeAgeMs === undefined ? 'never' : `${storeAgeMs} ms ago`, String(callsInFlight), reasons.join('; ')
  ]
}
