import { randomUUID } from 'node:crypto'
import { raise } from '@cowsliplead/core/utils/raise.js'
import type { PublishResult } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { PublishOptions } from '../../types/options.js'
import type { CommandContext } from '../../types/commandContext.js'
import { readDocument } from '../../utils/readFiles.js'
import { resolveStore } from '../addresses.js'
import { fetchNewestRecord, withPublisher } from '../policyStore.js'

/** Publishes a policy document. Nothing is sent if the file or an option is not valid. */
export async function publish (options: PublishOptions, context: CommandContext): Promise<number> {
  const { raw: document } = readDocument(options.file)
  resolveStore(options)
  const { terminal } = context
  const id = options.id ?? randomUUID()
  // Printed before sending, so that an operator can retry with the same id if the client dies.
  terminal.err(`change id ${id}`)
  return withPublisher(options, context, async publisher => {
    const base = options.base ?? (await fetchNewestRecord(publisher))?.revision ?? 0
    const result = await publisher.publish({ id, base, author: options.author, document })
    const revision = revisionOrRaise(result, `repeat with --id ${id} --base ${base}`)
    if (options.json) terminal.out(JSON.stringify({ id, base, revision }))
    else terminal.out(`change ${id} is applied as revision ${revision}`)
    return 0
  })
}

/** Returns the revision of an applied change; raises every other result as an error. */
function revisionOrRaise (result: PublishResult, retryHint: string): number {
  if (result.kind === 'applied') return result.revision
  if (result.kind === 'unconfirmed') return raise('publishUnconfirmed', retryHint)
  if (result.kind === 'unavailable') return raise('storeUnavailable', `writing the policy failed: ${result.failure}`)
  const { winner, revision } = result
  const winnerText = winner === undefined ? 'an earlier change' : `change ${winner.id} by ${winner.author} (revision ${winner.revision})`
  return raise('configConflict', `${winnerText} came first; the newest revision is ${revision}`)
}
