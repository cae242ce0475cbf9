import { readFileSync } from 'node:fs'
import { describeIssues, policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import { raise } from '@cowsliplead/core/utils/raise.js'

/** Reads a text file or raises `fileUnreadable`. */
export function readTextFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    return raise('fileUnreadable', `${file}: ${(error as Error).message}`)
  }
}

/** Reads a JSON file or raises `fileUnreadable` or `notJson`. */
export function readJsonFile (file: string): unknown {
  const text = readTextFile(file)
  try {
    return JSON.parse(text)
  } catch (error) {
    return raise('notJson', `${file}: ${(error as Error).message}`)
  }
}

/** A policy document as written, and with defaults filled in. */
export interface CheckedDocument {
  readonly written: unknown
  readonly parsed: PolicyDocument
}

/** Reads a policy document or raises `configInvalid` with every problem found. */
export function readDocument (file: string): CheckedDocument {
  const written = readJsonFile(file)
  const checked = policyDocumentSchema.safeParse(written)
  if (!checked.success) raise('configInvalid', `${file}: ${describeIssues(checked.error).join('; ')}`)
  return { written, parsed: checked.data }
}
