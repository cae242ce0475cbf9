import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { VmList, VmListing } from '../../types/platform.js'
import { sleep } from '../../utils/sleep.js'

/** Reads the VM list at an interval. While the list is down, the last one stays in use. */
export class VmListReader implements Component {
  readonly name = 'reader of the VM list'
  private stopped = new AbortController()

  private constructor (
    private readonly list: VmList,
    private readonly intervalMs: Milliseconds,
    private readonly onListing: (listing: VmListing) => void
  ) {}

  static create (list: VmList, intervalMs: Milliseconds, onListing: (listing: VmListing) => void): VmListReader {
    return new VmListReader(list, intervalMs, onListing)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    this.follow(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
  }

  private async follow (stopped: AbortSignal): Promise<void> {
    while (!stopped.aborted) {
      const result = await this.list.read()
      if (stopped.aborted) return
      if (result.isOk) this.onListing(result.value)
      await sleep(this.intervalMs, stopped)
    }
  }
}
