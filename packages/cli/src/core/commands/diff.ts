import { policyDocumentSchema } from '@cowsliplead/core/types/policyDocument.js'
import { EXIT_DIFFERENT } from '../../types/exitCode.js'
import type { FileOptions, FleetOptions } from '../../types/options.js'
import type { Surroundings } from '../../types/surroundings.js'
import { diffDocuments, formatDifference } from '../../utils/documentDiff.js'
import { readDocument } from '../../utils/readFiles.js'
import { fetchNewest, withPublisher } from '../policyStore.js'

/** Compares a file with the newest document; defaults that one side leaves out are filled in on both. */
export async function diff (options: FleetOptions & FileOptions, surroundings: Surroundings): Promise<number> {
  const { parsed } = readDocument(options.file)
  const { terminal } = surroundings
  const record = await withPublisher(options, surroundings, fetchNewest)
  const { revision, document } = record ?? { revision: 0, document: {} }
  const newest = policyDocumentSchema.safeParse(document)
  // A document that this client's schema refuses was published by a newer version; it is compared as written.
  const differences = diffDocuments(newest.success ? newest.data : document, parsed)
  if (options.json) terminal.out(JSON.stringify({ revision, differences }))
  else formatDifferences(revision, differences.flatMap(formatDifference)).forEach(line => terminal.out(line))
  return differences.length === 0 ? 0 : EXIT_DIFFERENT
}

function formatDifferences (revision: number, lines: readonly string[]): string[] {
  if (lines.length === 0) return [`no difference from revision ${revision}`]
  return [`differences from revision ${revision}:`, ...lines]
}
