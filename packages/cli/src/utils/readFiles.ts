import { readFileSync } from 'node:fs'
import { describeIssues, policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import { raise } from '@cowsliplead/core/utils/raise.js'

/** Reads a text file; raises `fileUnreadable`. */
export function readTextFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return raise('fileUnreadable', `${file}: ${(error as Error).message}`)
  }
}

/** Reads a JSON file; raises `fileUnreadable` or `notJson`. */
export function readJsonFile (file: string): unknown {
  const text = readTextFile(file)
  try {
    return JSON.parse(text)
  } catch (error) {
    return raise('notJson', `${file}: ${(error as Error).message}`)
  }
}

/** A valid policy document: as written in its file (`raw`), and with defaults filled in (`parsed`). */
export interface CheckedDocument {
  readonly raw: unknown
  readonly parsed: PolicyDocument
}

/** Reads and validates a policy document; raises `configInvalid` with every problem found. */
export function readDocument (file: string): CheckedDocument {
  const rawDocument = readJsonFile(file)
  const checked = policyDocumentSchema.safeParse(rawDocument)
  if (!checked.success) raise('configInvalid', `${file}: ${describeIssues(checked.error).join('; ')}`)
  return { raw: rawDocument, parsed: checked.data }
}
