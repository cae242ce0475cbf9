import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { Component } from '../../types/component.js'
import type { JsonValue, Log } from '../../types/platform.js'
import { sleep } from '../../utils/sleep.js'
import { CONFIG_STREAM, type ConfigKeeper } from './configKeeper.js'
import type { Fleet } from '../peers/fleet.js'

const LONGEST_INTERVAL_MS = 10_000

/** Checks per retention time; staggered writers are an eighth of it apart at most. */
const CHECKS_PER_RETENTION = 400

/** Writes a checkpoint of the configuration whenever one is due, so that it outlives the log's retention. */
export class CheckpointWriter implements Component {
  readonly name = 'writer of checkpoints'
  private stopped = new AbortController()

  private constructor (
    private readonly log: Log,
    private readonly keeper: ConfigKeeper,
    private readonly fleet: Fleet,
    private readonly retentionMs: Milliseconds
  ) {}

  static create (log: Log, keeper: ConfigKeeper, fleet: Fleet, retentionMs: Milliseconds): CheckpointWriter {
    return new CheckpointWriter(log, keeper, fleet, retentionMs)
  }

  async start (onFailure: (error: Error) => void): Promise<void> {
    this.stopped = new AbortController()
    this.run(this.stopped.signal).catch(onFailure)
  }

  async stop (): Promise<void> {
    this.stopped.abort()
  }

  private async run (stopped: AbortSignal): Promise<void> {
    const intervalMs = Math.min(this.retentionMs / CHECKS_PER_RETENTION, LONGEST_INTERVAL_MS)
    while (!stopped.aborted) {
      await sleep(intervalMs, stopped)
      if (!stopped.aborted && this.keeper.isCaughtUp) await this.writeIfDue()
    }
  }

  /** A failed append is repeated at the next check; a checkpoint written twice is harmless. */
  private async writeIfDue (): Promise<void> {
    const { rank, count } = this.fleet.entryPosition()
    const checkpoint = this.keeper.state.dueCheckpoint(this.retentionMs, rank, count)
    if (checkpoint !== undefined) await this.log.append(CONFIG_STREAM, checkpoint as unknown as JsonValue)
  }
}
