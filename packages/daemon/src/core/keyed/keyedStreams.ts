import type { KeyedCalls } from '@cowsliplead/core/core/keyed/keyedCalls.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { LogPage } from '../../types/platform.js'
import type { KeyedHost } from './keyedHost.js'
import type { StreamConsumer } from '../control/streamReader.js'

/** Streams of ownership records and of claims. */
export type KeyedStream = 'ownership' | 'claims'

/** Passes one stream on to the keyed calls. */
export class KeyedStreamConsumer implements StreamConsumer {
  private constructor (private readonly host: KeyedHost, private readonly stream: KeyedStream) {}

  static create (host: KeyedHost, stream: KeyedStream): KeyedStreamConsumer {
    return new KeyedStreamConsumer(host, stream)
  }

  nextOffset (): number {
    return this.host.keyed.nextOffsets[this.stream]
  }

  onPage (page: LogPage, isEnd: boolean, requestedAt: Milliseconds): void {
    this.host.feed(keyed => {
      for (const { offset, data } of page.records) this.apply(keyed, { offset, data: JSON.stringify(data) })
      if (isEnd) keyed.onTail(this.stream, requestedAt)
    })
  }

  onExpired (earliest: number): void {
    this.host.feed(keyed => this.stream === 'ownership' ? keyed.onOwnershipGap(earliest) : keyed.onClaimsGap(earliest))
  }

  private apply (keyed: KeyedCalls, record: { readonly offset: number, readonly data: string }): void {
    if (this.stream === 'ownership') keyed.onOwnershipRecord(record)
    else keyed.onClaimsRecord(record)
  }
}
