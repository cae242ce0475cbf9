import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { EntryVm } from '../../types/platform.js'
import type { InForce, VmRevision } from '../../types/privateApi.js'
import type { PeerClients } from '../peers/peerClients.js'
import { timeoutSignal } from '../../utils/timeoutSignal.js'

/** Above any revision, so that peers answer without their whole state. */
const NO_SNAPSHOT = Number.MAX_SAFE_INTEGER

/** Asks each entry VM itself which revision it has in force. */
export async function surveyRevisions (vms: readonly EntryVm[], own: { readonly vmId: string, readonly revision: number }, clients: PeerClients, timeoutMs: Milliseconds): Promise<InForce> {
  const asked = vms.map(vm => vm.id === own.vmId ? describe(vm, own.revision) : ask(vm, clients, timeoutMs))
  const answers = await Promise.all(asked)
  const newestRevision = Math.max(own.revision, ...answers.map(answer => answer.revision ?? 0))
  const lagging = answers.filter(answer => answer.state === 'live' && answer.revision !== newestRevision)
  return { newestRevision, vms: answers, lagging: lagging.map(answer => answer.vmId) }
}

async function ask (vm: EntryVm, clients: PeerClients, timeoutMs: Milliseconds): Promise<VmRevision> {
  try {
    const signal = timeoutSignal(timeoutMs)
    const { revision } = await clients.at(vm.privateAddress).peer.configState.query({ newerThan: NO_SNAPSHOT }, { signal })
    return describe(vm, revision)
  } catch (error) {
    return describe(vm, undefined, (error as Error).message)
  }
}

function describe (vm: EntryVm, revision: number | undefined, problem?: string): VmRevision {
  return { vmId: vm.id, failureDomain: vm.failureDomain, state: vm.state, revision, problem }
}
