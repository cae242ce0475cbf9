import { setTimeout as delay } from 'node:timers/promises'
import { SystemClock, type Milliseconds } from '@cowsliplead/core/types/clock.js'
import { PolicyPublisher, type PublishResult } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import { LogStore } from '@cowsliplead/platform/logStore.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { Check } from '../../types/experiments.js'
import type { Fleet } from './fleet.js'

const PUBLISH_TIMEOUT_MS = 8000
const POLL_MS = 10
const FIRST_MARK = 1000

/** One published change with its times. */
export interface TimedChange {
  readonly result: PublishResult
  /** From the operator's request to its answer. */
  readonly acceptedMs: Milliseconds
  /** From the answer until the change was seen in force on the last VM; undefined where that took too long. */
  readonly everywhereMs: Milliseconds | undefined
}

/** An operator that publishes policy changes, and a watch on the revision that each VM says to be in force. */
export class PolicyChanges {
  /** The newest revision that was accepted. */
  newest = 0
  private count = 0
  private polls = 0
  private isStopped = false
  private readonly store: LogStore
  private readonly seen = new Map<string, number>()
  private readonly violations: string[] = []

  private constructor (fleet: Fleet) {
    this.store = LogStore.create(fleet.deployment.storeAddress)
    for (const entry of fleet.entries) {
      this.seen.set(entry.id, 0)
      void this.follow(entry)
    }
  }

  static start (fleet: Fleet): PolicyChanges {
    return new PolicyChanges(fleet)
  }

  /** Publishes the next change and waits until it is in force on every VM. */
  async publishTimed (waitMs: Milliseconds): Promise<TimedChange> {
    const index = this.count++
    const startedAt = performance.now()
    const result = await this.publish(`change-${index}`, this.newest, FIRST_MARK + index)
    const acceptedAt = performance.now()
    if (result.kind === 'applied') this.newest = result.revision
    const isEverywhere = await this.waitAll(this.newest, waitMs)
    return { result, acceptedMs: acceptedAt - startedAt, everywhereMs: isEverywhere ? performance.now() - acceptedAt : undefined }
  }

  /** Publishes a change; `mark` tells documents apart. */
  publish (id: string, base: number, mark: number): Promise<PublishResult> {
    const publisher = PolicyPublisher.create({ store: this.store, clock: SystemClock.create(), timeoutMs: PUBLISH_TIMEOUT_MS })
    return publisher.publish({ id, base, author: 'experiment', document: { defaults: { routing: { queueLimitCalls: mark } } } })
  }

  /** Whether every VM came to have the revision in force. */
  async waitAll (revision: number, timeoutMs: Milliseconds): Promise<boolean> {
    const giveUpAt = performance.now() + timeoutMs
    while (performance.now() < giveUpAt) {
      if ([...this.seen.values()].every(seen => seen >= revision)) return true
      await delay(POLL_MS / 2)
    }
    return false
  }

  /** Ends the watch; the check is violated where a revision went back. */
  stop (): Check {
    this.isStopped = true
    this.store.close()
    return { name: 'no revision went back', examined: this.polls, violations: this.violations }
  }

  private async follow ({ id, adminAddress }: EntryVm): Promise<void> {
    while (!this.isStopped) {
      const revision = await readRevision(adminAddress)
      if (revision !== undefined) this.note(id, revision)
      await delay(POLL_MS)
    }
  }

  private note (id: string, revision: number): void {
    const before = this.seen.get(id) as number
    this.polls++
    if (revision < before) this.violations.push(`${id}: ${before} to ${revision}`)
    this.seen.set(id, Math.max(before, revision))
  }
}

/** Undefined where the VM does not answer; the wait for a revision finds one that stays away. */
async function readRevision (adminAddress: string): Promise<number | undefined> {
  try {
    const response = await fetch(`http://${adminAddress}/status`)
    return (await response.json() as DaemonStatus).policyRevision
  } catch {
    return undefined
  }
}
