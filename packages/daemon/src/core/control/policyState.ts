import type { PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import { describeIssues, policyDocumentSchema, type PolicyDocument } from '@cowsliplead/core/types/policyDocument.js'
import type { TableRecord } from '../../types/controlStore.js'
import type { Logger } from '../operators/logger.js'
import type { FleetRecordConsumer } from './fleetTable.js'
import { decodePolicyRecord, POLICY_KEY } from './policyRecordCodec.js'
import type { PolicyRestorer } from './policyRestorer.js'

/** Options of the policy state. */
export interface PolicyStateOptions {
  readonly logger: Logger
  /** Called with each document that comes into force. */
  readonly onDocument: (document: PolicyDocument) => void
  /** Notified of whether the store still has the record in force. */
  readonly restorer: Pick<PolicyRestorer, 'onLost' | 'onPresent'>
}

/** The operators' policy document in force on this VM. Its revision never decreases. */
export class PolicyState implements FleetRecordConsumer {
  /** 0 until a document is in force. */
  revision = 0
  private inForce: PolicyRecord | undefined

  private constructor (private readonly options: PolicyStateOptions) {}

  static create (options: PolicyStateOptions): PolicyState {
    return new PolicyState(options)
  }

  onSnapshot (records: readonly TableRecord[]): void {
    this.onChanges(records)
    const stored = records.find(({ key }) => key === POLICY_KEY)?.value
    const storedRevision = stored === undefined ? 0 : decodePolicyRecord(stored)?.revision
    // An unreadable record belongs to a newer version of the daemon.
    if (this.inForce !== undefined && storedRevision !== undefined && storedRevision < this.revision) this.options.restorer.onLost(this.inForce)
  }

  onChanges (records: readonly TableRecord[]): void {
    for (const record of records) this.applyRecord(record)
  }

  private applyRecord ({ key, value }: TableRecord): void {
    if (key !== POLICY_KEY || value === undefined) return
    const record = decodePolicyRecord(value)
    if (record === undefined) return void this.options.logger.warn('policy record cannot be read', { bytes: value.length })
    if (record.revision >= this.revision) this.options.restorer.onPresent()
    if (record.revision > this.revision) this.apply(record)
  }

  /** A document that this version of the daemon cannot read is skipped; the previous one stays in force. */
  private apply (record: PolicyRecord): void {
    const { revision, document, changes } = record
    const { logger, onDocument } = this.options
    const parsed = policyDocumentSchema.safeParse(document)
    if (!parsed.success) {
      logger.error('policy document is not valid', { revision, inForce: this.revision, problems: describeIssues(parsed.error) })
      return
    }
    const previous = this.revision
    this.revision = revision
    this.inForce = record
    onDocument(parsed.data)
    logger.info('policy in force', { revision, previous, author: changes.at(-1)?.author, exceptions: parsed.data.exceptions.length })
  }
}
