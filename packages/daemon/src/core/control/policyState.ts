import { policyRecordSchema, type PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import { describeIssues, policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { TableRecord } from '../../types/controlStore.js'
import type { Journal } from '../operators/journal.js'
import type { FleetRecordConsumer } from './fleetTable.js'

/** Key of the policy document in the fleet's table. */
export const POLICY_KEY = 'policy'

/** What the state is made of. */
export interface PolicyStateOptions {
  readonly journal: Journal
  /** Called with each document that takes force. */
  readonly onDocument: (document: PolicyDocument) => void
}

/** The operators' policy document in force on this VM. Its revision never goes back. */
export class PolicyState implements FleetRecordConsumer {
  /** 0 until a document is in force. */
  revision = 0

  private constructor (private readonly options: PolicyStateOptions) {}

  static create (options: PolicyStateOptions): PolicyState {
    return new PolicyState(options)
  }

  onSnapshot (records: readonly TableRecord[]): void {
    this.onChanges(records)
  }

  onChanges (records: readonly TableRecord[]): void {
    for (const record of records) this.take(record)
  }

  private take ({ key, value }: TableRecord): void {
    if (key !== POLICY_KEY || value === undefined) return
    const record = decodePolicyRecord(value)
    if (record === undefined) return void this.options.journal.warn('policy record cannot be read', { bytes: value.length })
    if (record.revision > this.revision) this.apply(record)
  }

  /** A document that this version cannot read leaves the one before it in force. */
  private apply ({ revision, document, changes }: PolicyRecord): void {
    const { journal, onDocument } = this.options
    const parsed = policyDocumentSchema.safeParse(document)
    if (!parsed.success) {
      journal.error('policy document is not valid', { revision, inForce: this.revision, problems: describeIssues(parsed.error) })
      return
    }
    const previous = this.revision
    this.revision = revision
    onDocument(parsed.data)
    journal.info('policy in force', { revision, previous, author: changes.at(-1)?.author, exceptions: parsed.data.exceptions.length })
  }
}

/** The record as the store holds it; undefined where it cannot be read. */
export function decodePolicyRecord (value: Buffer): PolicyRecord | undefined {
  return policyRecordSchema.safeParse(parseJson(value.toString('utf8'))).data
}

/** The bytes that the store holds. */
export function encodePolicyRecord (record: PolicyRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}
