import type { CallState } from './callState.js'

/** Calls that wait until another call with the same fingerprint has shown whether it crashes an upstream. */
export class ParkedCalls {
  /** Fingerprint to the id of the call that tries it. */
  private readonly trials = new Map<string, number>()
  private readonly waiting = new Map<string, Set<CallState>>()

  private constructor () {}

  static create (): ParkedCalls {
    return new ParkedCalls()
  }

  get size (): number {
    return this.waiting.size
  }

  isTrying (fingerprint: string): boolean {
    return this.trials.has(fingerprint)
  }

  /** Makes the call the one that tries; false where another call already does. */
  beginTrial (fingerprint: string, callId: number): boolean {
    const trialId = this.trials.get(fingerprint)
    if (trialId !== undefined) return trialId === callId
    this.trials.set(fingerprint, callId)
    return true
  }

  add (state: CallState): void {
    const { fingerprint } = state.call
    const calls = this.waiting.get(fingerprint) ?? new Set()
    calls.add(state)
    this.waiting.set(fingerprint, calls)
  }

  remove (state: CallState): void {
    const { fingerprint } = state.call
    const calls = this.waiting.get(fingerprint)
    calls?.delete(state)
    if (calls?.size === 0) this.waiting.delete(fingerprint)
  }

  /** Ends the trial unless its call is still among `unfinished`, and returns the calls that may go on. */
  endTrial (fingerprint: string, unfinished: ReadonlyMap<number, unknown>): CallState[] {
    const trialId = this.trials.get(fingerprint)
    if (trialId !== undefined && unfinished.has(trialId)) return []
    this.trials.delete(fingerprint)
    const calls = [...this.waiting.get(fingerprint) ?? []]
    this.waiting.delete(fingerprint)
    return calls
  }
}
