import type { AppliedChange } from '@cowsliplead/core/core/configuration/policyRecord.js'
import type { HistoryOptions } from '../../types/options.js'
import type { CommandContext } from '../../types/commandContext.js'
import { formatTable } from '../../utils/formatTable.js'
import { fetchNewestRecord, withPublisher } from '../policyStore.js'

/** Lists the most recent applied changes, newest first. */
export async function history (options: HistoryOptions, context: CommandContext): Promise<number> {
  const record = await withPublisher(options, context, fetchNewestRecord)
  const changes = (record?.changes ?? []).slice(-options.limit).reverse()
  if (options.json) context.terminal.out(JSON.stringify(changes))
  else formatTable([['REVISION', 'AUTHOR', 'CHANGE'], ...changes.map(toRow)]).forEach(line => context.terminal.out(line))
  return 0
}

function toRow ({ revision, author, id }: AppliedChange): string[] {
  return [String(revision), author, id]
}
