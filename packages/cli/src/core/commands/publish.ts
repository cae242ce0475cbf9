import { randomUUID } from 'node:crypto'
import { raise } from '@cowsliplead/core/utils/raise.js'
import type { PublishResult } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { PublishOptions } from '../../types/options.js'
import type { Surroundings } from '../../types/surroundings.js'
import { readDocument } from '../../utils/readFiles.js'
import { resolveStore } from '../connection.js'
import { fetchNewest, withPublisher } from '../policyStore.js'

/** Publishes a policy document. Nothing is sent where the file or an option is not valid. */
export async function publish (options: PublishOptions, surroundings: Surroundings): Promise<number> {
  const { written } = readDocument(options.file)
  resolveStore(options)
  const { terminal } = surroundings
  const id = options.id ?? randomUUID()
  // Printed before sending: an operator whose client dies can repeat the change with the same id.
  terminal.err(`change id ${id}`)
  return withPublisher(options, surroundings, async publisher => {
    const base = options.base ?? (await fetchNewest(publisher))?.revision ?? 0
    const result = await publisher.publish({ id, base, author: options.author, document: written })
    const revision = readResult(result, `repeat with --id ${id} --base ${base}`)
    if (options.json) terminal.out(JSON.stringify({ id, base, revision }))
    else terminal.out(`change ${id} is applied as revision ${revision}`)
    return 0
  })
}

/** The revision of an applied change; raises the other results. */
function readResult (result: PublishResult, advice: string): number {
  if (result.kind === 'applied') return result.revision
  if (result.kind === 'unconfirmed') return raise('publishUnconfirmed', advice)
  if (result.kind === 'unavailable') return raise('storeUnavailable', `writing the policy failed: ${result.failure}`)
  const { winner, revision } = result
  const winnerText = winner === undefined ? 'an earlier change' : `change ${winner.id} by ${winner.author} (revision ${winner.revision})`
  return raise('configConflict', `${winnerText} came first; the newest revision is ${revision}`)
}
