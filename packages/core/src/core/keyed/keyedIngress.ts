import type { Clock, Milliseconds } from '../../types/clock.js'
import type { KeyedCall, KeyedResult } from '../../types/keyedCall.js'
import type { Member } from '../../types/member.js'
import type { KeyedCalls } from './keyedCalls.js'

/** A call goes on to at most this many VMs; views of ownership differ only for moments. */
const MAX_HOPS = 3

/** Time for the owner's answer to travel back. */
const ANSWER_GRACE_MS = 100

const UNREACHABLE: KeyedResult = { kind: 'outcomeUnknown', code: 'ownerUnreachable' }

/** The host of an ingress. */
export interface IngressPort {
  /** Sends a call to another member; answered through `onForwarded`. */
  forward (call: KeyedCall, to: Member): void
  /** Answers the caller. */
  finish (callId: number, result: KeyedResult): void
}

interface OpenCall {
  readonly call: KeyedCall
  hops: number
}

/**
 * The ingress side of keyed calls: finds the owner of a key and passes its answer on. It never answers "not run"
 * of its own accord, because it cannot know whether the key ran.
 */
export class KeyedIngress {
  private readonly open = new Map<number, OpenCall>()
  private nextDeadlineAt: Milliseconds = Infinity

  private constructor (
    private readonly self: Member,
    private readonly clock: Clock,
    private readonly keyed: KeyedCalls,
    private readonly port: IngressPort
  ) {}

  static create (self: Member, clock: Clock, keyed: KeyedCalls, port: IngressPort): KeyedIngress {
    return new KeyedIngress(self, clock, keyed, port)
  }

  get openCount (): number {
    return this.open.size
  }

  submit (call: KeyedCall): void {
    this.open.set(call.id, { call, hops: 0 })
    this.nextDeadlineAt = Math.min(this.nextDeadlineAt, call.deadlineAt + ANSWER_GRACE_MS)
    this.send(call.id)
  }

  /** Takes the result from this VM's own `KeyedCalls`. */
  onOwnResult (callId: number, result: KeyedResult): void {
    this.onForwarded(callId, result)
  }

  /** Takes another member's result; undefined where it cannot be reached or its answer was lost. */
  onForwarded (callId: number, result: KeyedResult | undefined): void {
    const open = this.open.get(callId)
    if (open === undefined) return
    if (result === undefined) this.finish(callId, UNREACHABLE)
    else if (result.kind !== 'notOwner') this.finish(callId, this.checkAge(result))
    else {
      if (result.entry !== undefined) this.keyed.onOwnerHint(result.entry)
      this.send(callId)
    }
  }

  nextTimerAt (): Milliseconds {
    return this.nextDeadlineAt
  }

  tick (): void {
    const now = this.clock.now()
    if (now < this.nextDeadlineAt) return
    this.nextDeadlineAt = Infinity
    for (const [id, { call }] of this.open) {
      const endsAt = call.deadlineAt + ANSWER_GRACE_MS
      if (endsAt <= now) this.finish(id, UNREACHABLE)
      else this.nextDeadlineAt = Math.min(this.nextDeadlineAt, endsAt)
    }
  }

  private send (callId: number): void {
    const open = this.open.get(callId)
    if (open === undefined) return
    const owner = this.keyed.ownerOfKey(open.call.key)?.owner
    open.hops++
    if (owner === undefined || open.hops > MAX_HOPS) this.finish(callId, UNREACHABLE)
    else if (owner === this.self) this.keyed.receive(open.call)
    else this.port.forward(open.call, owner)
  }

  /** A refusal that was long under way may be outdated: a repeat that another VM received meanwhile may have run. */
  private checkAge (result: KeyedResult): KeyedResult {
    if (result.kind !== 'notRun') return result
    return this.clock.now() - result.at > this.keyed.clockSkewMs / 2 ? UNREACHABLE : result
  }

  private finish (callId: number, result: KeyedResult): void {
    this.open.delete(callId)
    this.port.finish(callId, result)
  }
}
