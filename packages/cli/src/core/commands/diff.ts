import { policyDocumentSchema } from '@cowsliplead/core/types/policyDocument.js'
import { EXIT_DIFFERENCES } from '../../types/exitCode.js'
import type { FileOptions, FleetOptions } from '../../types/options.js'
import type { CommandContext } from '../../types/commandContext.js'
import { diffDocuments, formatDifference } from '../../utils/documentDiff.js'
import { readDocument } from '../../utils/readFiles.js'
import { fetchNewestRecord, withPublisher } from '../policyStore.js'

/** Compares a file with the newest document; settings that either side omits are compared with their default values. */
export async function diff (options: FleetOptions & FileOptions, context: CommandContext): Promise<number> {
  const { parsed } = readDocument(options.file)
  const { terminal } = context
  const record = await withPublisher(options, context, fetchNewestRecord)
  const { revision, document } = record ?? { revision: 0, document: {} }
  const newest = policyDocumentSchema.safeParse(document)
  // A document that fails this client's schema was published by a newer version; it is compared as written.
  const differences = diffDocuments(newest.success ? newest.data : document, parsed)
  if (options.json) terminal.out(JSON.stringify({ revision, differences }))
  else formatDifferences(revision, differences.flatMap(formatDifference)).forEach(line => terminal.out(line))
  return differences.length === 0 ? 0 : EXIT_DIFFERENCES
}

function formatDifferences (revision: number, lines: readonly string[]): string[] {
  if (lines.length === 0) return [`no difference from revision ${revision}`]
  return [`differences from revision ${revision}:`, ...lines]
}
