import type { CallState } from './callState.js'

/** Calls parked while another call with the same fingerprint tests whether the request crashes an upstream. */
export class ParkedCalls {
  /** Id of the call that tests the request, by fingerprint. */
  private readonly trialCallIds = new Map<string, number>()
  /** Parked calls, by fingerprint. */
  private readonly callsByFingerprint = new Map<string, Set<CallState>>()

  private constructor () {}

  static create (): ParkedCalls {
    return new ParkedCalls()
  }

  /** Number of parked calls. */
  get size (): number {
    let count = 0
    for (const calls of this.callsByFingerprint.values()) count += calls.size
    return count
  }

  hasTrial (fingerprint: string): boolean {
    return this.trialCallIds.has(fingerprint)
  }

  /** Makes the call the trial of its request. Returns false if another call already is. */
  beginTrial (fingerprint: string, callId: number): boolean {
    const trialId = this.trialCallIds.get(fingerprint)
    if (trialId !== undefined) return trialId === callId
    this.trialCallIds.set(fingerprint, callId)
    return true
  }

  add (state: CallState): void {
    const { fingerprint } = state.call
    const calls = this.callsByFingerprint.get(fingerprint) ?? new Set()
    calls.add(state)
    this.callsByFingerprint.set(fingerprint, calls)
  }

  remove (state: CallState): void {
    const { fingerprint } = state.call
    const calls = this.callsByFingerprint.get(fingerprint)
    calls?.delete(state)
    if (calls?.size === 0) this.callsByFingerprint.delete(fingerprint)
  }

  /** Ends the trial unless its call is still in `unfinished`. Returns the parked calls that may continue. */
  endTrial (fingerprint: string, unfinished: ReadonlyMap<number, unknown>): CallState[] {
    const trialId = this.trialCallIds.get(fingerprint)
    if (trialId !== undefined && unfinished.has(trialId)) return []
    this.trialCallIds.delete(fingerprint)
    const calls = [...this.callsByFingerprint.get(fingerprint) ?? []]
    this.callsByFingerprint.delete(fingerprint)
    return calls
  }
}
