import { configDocumentSchema, describeIssues } from '@cowsliplead/core/types/configDocument.js'
import { createChange, type ChangeVerdict } from '@cowsliplead/core/types/configRecords.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { raise } from '@cowsliplead/core/utils/raise.js'
import type { JsonValue, Log } from '../../types/platform.js'
import { CONFIG_STREAM, type ConfigKeeper } from './configKeeper.js'

const APPEND_ATTEMPTS = 3

/** A change that an operator asks for. */
export interface ChangeRequest {
  /** Chosen by the operator's client; a repeat with the same id is harmless. */
  readonly id: string
  /** The revision that the change was made on. */
  readonly base: number
  readonly author: string
  readonly document: unknown
}

/** What became of a change; `unconfirmed` where its record was not read back in time. */
export type PublishResult = ChangeVerdict | { readonly kind: 'unconfirmed', readonly id: string }

/** Appends changes to the log and reads back their verdict. */
export class Publisher {
  private constructor (
    private readonly log: Log,
    private readonly keeper: ConfigKeeper,
    private readonly timeoutMs: Milliseconds
  ) {}

  static create (log: Log, keeper: ConfigKeeper, timeoutMs: Milliseconds): Publisher {
    return new Publisher(log, keeper, timeoutMs)
  }

  /** Raises an error only where the change certainly has no effect. */
  async publish (change: ChangeRequest): Promise<PublishResult> {
    const known = this.keeper.state.verdictOf(change.id)
    if (known !== undefined) return known
    const checked = configDocumentSchema.safeParse(change.document)
    if (!checked.success) return { kind: 'invalid', problems: describeIssues(checked.error) }
    const record = createChange(change.id, change.base, change.author, change.document)
    const verdict = await this.appendAndRead(change.id, record as unknown as JsonValue)
    return verdict ?? { kind: 'unconfirmed', id: change.id }
  }

  /** An append without confirmation is repeated while its record is not read back: repeated ids are harmless. */
  private async appendAndRead (id: string, record: JsonValue): Promise<ChangeVerdict | undefined> {
    for (let attempt = 0; attempt < APPEND_ATTEMPTS; attempt++) {
      const appended = await this.log.append(CONFIG_STREAM, record)
      if (attempt === 0 && appended.isErr && appended.error.kind === 'unavailable') raise('logUnavailable', appended.error.detail)
      const verdict = await this.keeper.waitForVerdict(id, appended.isOk ? this.timeoutMs : this.timeoutMs / APPEND_ATTEMPTS)
      if (verdict !== undefined || appended.isOk) return verdict
    }
    return undefined
  }
}
