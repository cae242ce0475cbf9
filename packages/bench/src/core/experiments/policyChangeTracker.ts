import { setTimeout as delay } from 'node:timers/promises'
import { SystemClock, type Milliseconds } from '@cowsliplead/core/types/clock.js'
import { PolicyPublisher, type PublishResult } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import { LogStore } from '@cowsliplead/platform/logStore.js'
import type { EntryVm } from '@cowsliplead/platform/standin/localDeployment.js'
import type { Check } from '../../types/experiments.js'
import type { Fleet } from './fleet.js'

const PUBLISH_TIMEOUT_MS = 8000
const POLL_INTERVAL_MS = 10
const FIRST_QUEUE_LIMIT = 1000

/** The result and timing of one published change. */
export interface TimedChange {
  readonly result: PublishResult
  /** Time from the operator's request to its result. */
  readonly acceptedMs: Milliseconds
  /** Time from the result until the change was in force on all VMs; undefined if that timed out. */
  readonly propagationMs: Milliseconds | undefined
}

/** Publishes policy changes as an operator does, and polls each VM for the policy revision in force there. */
export class PolicyChangeTracker {
  /** Newest accepted revision, the base of the next change. */
  newestRevision = 0
  private changeCount = 0
  private pollCount = 0
  private isStopped = false
  private readonly store: LogStore
  private readonly revisions = new Map<string, number>()
  private readonly violations: string[] = []

  private constructor (fleet: Fleet) {
    this.store = LogStore.create(fleet.deployment.storeAddress)
    for (const entry of fleet.entries) {
      this.revisions.set(entry.id, 0)
      void this.pollRevision(entry)
    }
  }

  static start (fleet: Fleet): PolicyChangeTracker {
    return new PolicyChangeTracker(fleet)
  }

  /** Publishes the next change and waits until it is in force on every VM, at most `timeoutMs`. */
  async publishTimed (timeoutMs: Milliseconds): Promise<TimedChange> {
    const index = this.changeCount++
    const startedAt = performance.now()
    const result = await this.publish(`change-${index}`, this.newestRevision, FIRST_QUEUE_LIMIT + index)
    const acceptedAt = performance.now()
    if (result.kind === 'applied') this.newestRevision = result.revision
    const hasPropagated = await this.waitForRevision(this.newestRevision, timeoutMs)
    return { result, acceptedMs: acceptedAt - startedAt, propagationMs: hasPropagated ? performance.now() - acceptedAt : undefined }
  }

  /** Publishes a change; a different `queueLimit` makes each document distinct. */
  publish (id: string, base: number, queueLimit: number): Promise<PublishResult> {
    const publisher = PolicyPublisher.create({ store: this.store, clock: SystemClock.create(), timeoutMs: PUBLISH_TIMEOUT_MS })
    return publisher.publish({ id, base, author: 'experiment', document: { defaults: { routing: { queueLimitCalls: queueLimit } } } })
  }

  /** Waits until every VM has the revision, or a newer one, in force; false if that times out. */
  async waitForRevision (revision: number, timeoutMs: Milliseconds): Promise<boolean> {
    const timeoutAt = performance.now() + timeoutMs
    while (performance.now() < timeoutAt) {
      if ([...this.revisions.values()].every(current => current >= revision)) return true
      await delay(POLL_INTERVAL_MS / 2)
    }
    return false
  }

  /** Stops polling and returns the check that no VM ever reported an older revision than before. */
  stop (): Check {
    this.isStopped = true
    this.store.close()
    return { name: 'no revision went back', examined: this.pollCount, violations: this.violations }
  }

  private async pollRevision ({ id, adminAddress }: EntryVm): Promise<void> {
    while (!this.isStopped) {
      const revision = await readRevision(adminAddress)
      if (revision !== undefined) this.recordRevision(id, revision)
      await delay(POLL_INTERVAL_MS)
    }
  }

  private recordRevision (id: string, revision: number): void {
    const previous = this.revisions.get(id) as number
    this.pollCount++
    if (revision < previous) this.violations.push(`${id} went from revision ${previous} back to ${revision}`)
    this.revisions.set(id, Math.max(previous, revision))
  }
}

/** Reads the policy revision of a VM; undefined if it does not answer, which `waitForRevision` handles by its timeout. */
async function readRevision (adminAddress: string): Promise<number | undefined> {
  try {
    const response = await fetch(`http://${adminAddress}/status`)
    return (await response.json() as DaemonStatus).policyRevision
  } catch {
    return undefined
  }
}
