import { KeyedCalls } from '@cowsliplead/core/core/keyed/keyedCalls.js'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import { keyedCallSettingsSchema, type KeyedCallSettings } from '@cowsliplead/core/types/configDocument.js'
import type { KeyedAttempt } from '@cowsliplead/core/types/keyedCall.js'
import type { Member } from '@cowsliplead/core/types/member.js'
import { createMembers, listOf } from './memberNames.js'

type Stream = 'ownership' | 'claims'

/** Below the gap that a VM takes for a pause of its process. */
const STEP_MS = 250
const START_AT = 1_000_000
const DEADLINE_MS = 3_000
const RESPONSE_BYTES = 200

/** Owners of keyed calls that share a log on which every append is readable at once. */
export class KeyedFleet {
  readonly clock = FakeClock.create(START_AT)
  readonly members: readonly Member[]
  readonly vms: KeyedCalls[]
  readonly appends = { ownership: 0, claims: 0 }
  readonly appendedBytes = { ownership: 0, claims: 0 }
  answered = 0
  private readonly attempts: KeyedAttempt[][]
  private readonly offsets = { ownership: 0, claims: 0 }
  private nextCallId = 1

  constructor (count: number, logRetentionMs: number, settings: Partial<KeyedCallSettings> = {}) {
    this.members = createMembers(count)
    this.attempts = this.members.map(() => [])
    this.vms = this.members.map((self, index) => KeyedCalls.create({
      self,
      clock: this.clock,
      settings: keyedCallSettingsSchema.parse(settings),
      logRetentionMs,
      port: {
        append: (stream, data) => this.append(stream, data),
        requestWitness: () => undefined,
        requestWitnessedClaims: () => undefined,
        sendHandover: () => undefined,
        startAttempt: attempt => this.attempts[index]?.push(attempt),
        answer: () => {
          this.answered++
        }
      }
    }))
  }

  /** Lets time pass with VM list, peers and log in order. */
  pass (durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += STEP_MS) {
      this.clock.advance(STEP_MS)
      const now = this.clock.now()
      const list = listOf(this.members.length, now)
      for (const vm of this.vms) {
        vm.onVmList(list)
        vm.setPeers(this.members)
        vm.onTail('ownership', now)
        vm.onTail('claims', now)
      }
      this.tick()
    }
  }

  /** Submits keys to the first VM within one claim window and answers all that start. */
  runWindow (keys: readonly string[]): void {
    const now = this.clock.now()
    for (const key of keys) {
      this.vms[0]?.receive({ id: this.nextCallId++, key, fingerprint: 'f'.repeat(32), arrivedAt: now, deadlineAt: now + DEADLINE_MS })
    }
    this.clock.advance(5)
    this.tick()
    this.answerAttempts()
  }

  resetCounts (): void {
    Object.assign(this.appends, { ownership: 0, claims: 0 })
    Object.assign(this.appendedBytes, { ownership: 0, claims: 0 })
  }

  private answerAttempts (): void {
    for (const [index, started] of this.attempts.entries()) {
      for (const { attemptId } of started.splice(0)) {
        const response = { status: 201, headers: { 'content-type': 'application/json' }, body: new Uint8Array(RESPONSE_BYTES) }
        this.vms[index]?.onAttemptEnd(attemptId, { kind: 'response', response })
      }
    }
  }

  private tick (): void {
    for (const vm of this.vms) {
      if (vm.nextTimerAt() <= this.clock.now()) vm.tick()
    }
  }

  private append (stream: Stream, data: string): void {
    const record = { offset: this.offsets[stream]++, data }
    this.appends[stream]++
    this.appendedBytes[stream] += Buffer.byteLength(data)
    for (const vm of this.vms) {
      if (stream === 'ownership') vm.onOwnershipRecord(record)
      else vm.onClaimsRecord(record)
    }
  }
}
