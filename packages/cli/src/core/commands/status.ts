import { raise } from '@cowsliplead/core/utils/raise.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import type { FleetOptions } from '../../types/options.js'
import type { Terminal } from '../../types/terminal.js'
import { formatTable } from '../../utils/formatTable.js'
import { resolveDaemons } from '../connection.js'
import { askStatus, type DaemonAnswer } from '../daemons.js'

const HEADINGS = ['ADDRESS', 'VM', 'DOMAIN', 'READY', 'REVISION', 'ROUTES', 'STORE', 'IN FLIGHT', 'PROBLEMS']

/** Shows the state of every daemon given; fails only where none answers. */
export async function status (options: FleetOptions, terminal: Terminal): Promise<number> {
  const answers = await askStatus(resolveDaemons(options), options.timeoutMs)
  if (!answers.some(answer => 'value' in answer)) {
    raise('daemonUnreachable', answers.map(answer => `${answer.address}: ${'problem' in answer ? answer.problem : ''}`).join('; '))
  }
  if (options.json) terminal.out(JSON.stringify(answers))
  else formatTable([HEADINGS, ...answers.map(toRow)]).forEach(line => terminal.out(line))
  return 0
}

function toRow (answer: DaemonAnswer<DaemonStatus>): string[] {
  if ('problem' in answer) return [answer.address, '-', '-', '-', '-', '-', '-', '-', answer.problem]
  const { vmId, failureDomain, ready, policyRevision, configVersion, storeAgeMs, callsInFlight, reasons } = answer.value
  return [
    answer.address, vmId, failureDomain, ready ? 'yes' : 'no', String(policyRevision), String(configVersion ?? '-'),
    storeAgeMs === undefined ? 'never' : `${storeAgeMs} ms ago`, String(callsInFlight), reasons.join('; ')
  ]
}
