import { ConfigState } from '@cowsliplead/core/core/configuration/configState.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ConfigDocument } from '@cowsliplead/core/types/configDocument.js'
import type { ChangeVerdict } from '@cowsliplead/core/types/configRecords.js'
import type { LogPage } from '../../types/platform.js'
import type { StreamConsumer } from './streamReader.js'
import { timeoutSignal } from '../../utils/timeoutSignal.js'

/** Stream of configuration changes and checkpoints. */
export const CONFIG_STREAM = 'config'

/** Feeds the configuration state from the log and from peers, and tells when the document in force changes. */
export class ConfigKeeper implements StreamConsumer {
  readonly state: ConfigState
  /** Whether the stream was read to its end, or a peer's state was taken over. */
  isCaughtUp = false
  private isAtEnd = false
  private reported = 0
  private readonly waiters = new Set<() => void>()

  private constructor (clock: Clock, private readonly onDocument: (document: ConfigDocument, revision: number) => void) {
    this.state = ConfigState.create(clock)
  }

  static create (clock: Clock, onDocument: (document: ConfigDocument, revision: number) => void): ConfigKeeper {
    return new ConfigKeeper(clock, onDocument)
  }

  /** Whether the log was read to its end and neither records nor a checkpoint close the gap in them. */
  get isStuck (): boolean {
    return this.isAtEnd && !this.state.isComplete
  }

  nextOffset (): number {
    return this.state.nextOffset
  }

  onPage (page: LogPage, isEnd: boolean): void {
    for (const record of page.records) {
      this.state.apply({ offset: record.offset, data: JSON.stringify(record.data) })
    }
    this.isAtEnd = isEnd
    if (isEnd && this.state.isComplete) this.isCaughtUp = true
    this.afterProgress()
  }

  onExpired (earliest: number): void {
    this.isAtEnd = false
    this.state.skipTo(earliest)
  }

  /** Takes over a peer's state where it is newer. */
  adoptPeerState (snapshot: unknown): boolean {
    const adopted = this.state.adoptPeerState(snapshot)
    if (adopted) this.isCaughtUp = true
    if (adopted) this.afterProgress()
    return adopted
  }

  /** What became of a change, once its record was read; undefined after `timeoutMs`. */
  async waitForVerdict (changeId: string, timeoutMs: Milliseconds): Promise<ChangeVerdict | undefined> {
    const limit = timeoutSignal(timeoutMs)
    while (!limit.aborted) {
      const verdict = this.state.verdictOf(changeId)
      if (verdict !== undefined) return verdict
      await this.nextProgress(limit)
    }
    return undefined
  }

  private afterProgress (): void {
    const { document, revision } = this.state
    if (document !== undefined && revision > this.reported) {
      this.reported = revision
      this.onDocument(document, revision)
    }
    for (const wake of [...this.waiters]) wake()
  }

  private nextProgress (limit: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        this.waiters.delete(wake)
        limit.removeEventListener('abort', wake)
        resolve()
      }
      this.waiters.add(wake)
      limit.addEventListener('abort', wake)
    })
  }
}
