import { expect } from 'chai'
import { KeyedCalls } from '../src/core/keyed/keyedCalls.js'
import { FakeClock } from '../src/types/clock.js'
import { keyedCallSettingsSchema, type KeyedCallSettings } from '../src/types/configDocument.js'
import type { KeyedAttempt, KeyedResponse, KeyedResult, WitnessRequest } from '../src/types/keyedCall.js'
import { KEYED_TIMING } from '../src/types/keyedTiming.js'

const SELF = 'a#1'
const PEER = 'b#1'
const RESPONSE: KeyedResponse = { status: 201, headers: {}, body: new Uint8Array(10) }

/** One owner of all partitions with one peer; the log works while `logUp` is true. */
class Owner {
  readonly clock = FakeClock.create(1_000_000)
  readonly attempts: KeyedAttempt[] = []
  readonly witnessed: WitnessRequest[] = []
  readonly answers = new Map<number, KeyedResult>()
  readonly keyed: KeyedCalls
  logUp = true
  listUp = true
  readonly offsets = { ownership: 0, claims: 0 }

  constructor (settings: Partial<KeyedCallSettings> = {}) {
    this.keyed = KeyedCalls.create({
      self: SELF,
      clock: this.clock,
      settings: keyedCallSettingsSchema.parse(settings),
      logRetentionMs: 3_600_000,
      port: {
        append: (stream, data) => {
          if (this.logUp) this.read(stream, data)
        },
        requestWitness: request => this.witnessed.push(request),
        requestWitnessedClaims: () => undefined,
        sendHandover: () => undefined,
        startAttempt: attempt => this.attempts.push(attempt),
        answer: (callId, result) => this.answers.set(callId, result)
      }
    })
    this.pass(2_000)
  }

  /** Lets time pass in steps, as a process that is not paused sees it. */
  pass (durationMs: number): void {
    for (let passed = 0; passed < durationMs; passed += 5) {
      this.clock.advance(5)
      if (passed % 250 === 0) this.hear()
      this.keyed.tick()
    }
  }

  /** A record that becomes readable now. */
  read (stream: 'ownership' | 'claims', data: string): void {
    const record = { offset: this.offsets[stream]++, data }
    if (stream === 'ownership') this.keyed.onOwnershipRecord(record)
    else this.keyed.onClaimsRecord(record)
  }

  call (id: number, key: string, fingerprint = 'f'): void {
    const now = this.clock.now()
    this.keyed.receive({ id, key, fingerprint, arrivedAt: now, deadlineAt: now + 1_000 })
  }

  private hear (): void {
    const now = this.clock.now()
    if (this.listUp) this.keyed.onVmList({ asOf: now, vms: [{ id: 'a', state: 'live' }, { id: 'b', state: 'live' }] })
    this.keyed.setPeers([PEER])
    if (!this.logUp) return
    this.keyed.onTail('ownership', now)
    this.keyed.onTail('claims', now)
  }
}

/** Keys whose partitions this VM prefers to own. */
function ownKeys (owner: Owner): string[] {
  return Array.from({ length: 60 }, (_, index) => `key ${index}`).filter(key => owner.keyed.ownerOfKey(key)?.owner === SELF)
}

describe('keyed calls', () => {
  // Guards against a repeat that runs again, or that gets another outcome than the first call.
  it('answers repeats from the first call', () => {
    const owner = new Owner({ maxStoredResponseBytes: 100 })
    const [key = '', large = '', failed = ''] = ownKeys(owner)
    owner.call(1, key)
    owner.call(2, key)
    owner.pass(10)
    owner.call(3, key)
    expect(owner.attempts).to.have.lengthOf(1)
    owner.keyed.onAttemptEnd(1, { kind: 'response', response: RESPONSE })
    owner.call(4, key)
    for (const id of [1, 2, 3, 4]) expect(owner.answers.get(id), `call ${id}`).to.deep.equal({ kind: 'response', response: RESPONSE })
    owner.call(5, key, 'other request')
    expect(owner.answers.get(5)).to.deep.equal({ kind: 'outcomeUnknown', code: 'keyReused' })
    owner.call(6, large)
    owner.call(7, failed)
    owner.pass(10)
    owner.keyed.onAttemptEnd(2, { kind: 'response', response: { ...RESPONSE, body: new Uint8Array(101) } })
    owner.keyed.onAttemptEnd(3, { kind: 'outcomeUnknown', code: 'upstreamFailed' })
    owner.call(8, large)
    owner.call(9, failed)
    expect(owner.answers.get(8)).to.deep.equal({ kind: 'alreadyRan', status: 201 })
    expect(owner.answers.get(9)).to.deep.equal({ kind: 'outcomeUnknown', code: 'keyOutcomeUnknown' })
    expect(owner.attempts).to.have.lengthOf(3)
  })

  // Guards against a table that forgets a key to make room, and against keys that are kept for ever.
  it('refuses new keys while the table is full, until keys expire', () => {
    const owner = new Owner({ maxKeys: 1 })
    const [first = '', second = ''] = ownKeys(owner)
    owner.call(1, first)
    owner.pass(10)
    owner.keyed.onAttemptEnd(1, { kind: 'response', response: RESPONSE })
    owner.call(2, second)
    expect(owner.answers.get(2)).to.include({ kind: 'notRun', code: 'keyTableFull' })
    owner.call(3, first)
    expect(owner.answers.get(3)?.kind).to.equal('response')
    owner.pass(KEYED_TIMING.keyRetentionMs + 1_000)
    owner.call(4, second)
    owner.pass(10)
    expect(owner.attempts).to.have.lengthOf(2)
  })

  // Guards against issuing that waits for a log that is down, and against "not run" from a VM that may have been replaced.
  it('turns to a witness, and without one refuses only as long as it is sure', () => {
    const owner = new Owner()
    const [first = '', second = '', third = ''] = ownKeys(owner)
    owner.logUp = false
    owner.call(1, first)
    owner.pass(140)
    expect(owner.witnessed).to.have.lengthOf(0)
    owner.pass(30)
    const [request] = owner.witnessed
    expect(request?.claims.map(claim => claim.key)).to.deep.equal([first])
    owner.keyed.onWitnessAnswer(request?.id ?? 0, { from: PEER, granted: request?.partitions.map(({ partition }) => partition) ?? [], fenced: [] })
    expect(owner.attempts.map(attempt => attempt.key)).to.deep.equal([first])
    owner.call(2, second)
    owner.pass(1_100)
    expect(owner.answers.get(2)).to.include({ kind: 'notRun', code: 'claimUnavailable' })
    owner.pass(KEYED_TIMING.proofMs)
    owner.call(3, third)
    owner.pass(1_100)
    expect(owner.answers.get(3)).to.deep.equal({ kind: 'outcomeUnknown', code: 'keyOutcomeUnknown' })
    expect(owner.attempts).to.have.lengthOf(1)
  })

  // Guards against a claim that counts although another VM owned the key by then.
  it('does not run a claim that follows a newer fence', () => {
    const owner = new Owner()
    const [key = ''] = ownKeys(owner)
    const partition = owner.keyed.ownerOfKey(key)?.partition ?? 0
    owner.read('claims', JSON.stringify({ type: 'fence', version: 1, at: 0, owner: PEER, partitions: [{ partition, epoch: 1_000 }] }))
    owner.call(1, key)
    owner.pass(500)
    expect(owner.attempts).to.have.lengthOf(0)
    expect(owner.answers.get(1)?.kind).to.equal('notOwner')
  })

  // Guards against an attempt whose deadline a paused owner moved to after its successor started.
  it('does not start an attempt after the deadline of its claim', () => {
    const owner = new Owner()
    const [key = ''] = ownKeys(owner)
    owner.logUp = false
    owner.call(1, key)
    owner.pass(200)
    owner.clock.advance(60_000)
    const [request] = owner.witnessed
    owner.keyed.onWitnessAnswer(request?.id ?? 0, { from: PEER, granted: request?.partitions.map(({ partition }) => partition) ?? [], fenced: [] })
    expect(owner.attempts).to.have.lengthOf(0)
    expect(owner.answers.get(1)?.kind).to.equal('outcomeUnknown')
  })

  // Guards against a witness that was itself replaced, restarted or is no longer on the list without knowing.
  const doubts: Array<[string, (owner: Owner) => void, boolean]> = [
    ['after a pause, before it read the log', owner => owner.clock.advance(KEYED_TIMING.pauseGapMs + 1), false],
    ['after a pause, once it read the log', owner => {
      owner.clock.advance(KEYED_TIMING.pauseGapMs + 1)
      owner.pass(300)
    }, true],
    ['after a pause with the log down, once its peers gave their tables', owner => {
      owner.logUp = false
      owner.clock.advance(KEYED_TIMING.pauseGapMs + 1)
      owner.pass(300)
      owner.keyed.onPeerTable(PEER, { version: 1, upTo: 0, complete: true, entries: [] })
    }, true],
    ['without a recent VM list', owner => {
      Object.assign(owner, { logUp: false, listUp: false })
      owner.pass(KEYED_TIMING.listEvidenceMs + 1_000)
    }, false],
    ['with the log down and a recent VM list', owner => {
      owner.logUp = false
      owner.pass(KEYED_TIMING.listEvidenceMs + 1_000)
    }, true],
    ['off the VM list', owner => {
      owner.logUp = false
      owner.keyed.onVmList({ asOf: owner.clock.now() + 1, vms: [{ id: 'b', state: 'live' }] })
    }, false]
  ]
  for (const [when, prepare, grants] of doubts) {
    it(`${grants ? 'is' : 'is not'} a witness ${when}`, () => {
      const owner = new Owner()
      prepare(owner)
      const request = { id: 1, from: PEER, to: SELF, at: owner.clock.now(), claims: [], partitions: [{ partition: 0, epoch: 1_000 }] }
      expect(owner.keyed.witness(request)?.granted).to.deep.equal(grants ? [0] : undefined)
      expect(owner.keyed.witness({ ...request, to: 'a#0' })).to.equal(undefined)
    })
  }
})
