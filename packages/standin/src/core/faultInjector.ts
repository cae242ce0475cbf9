import type { Socket } from 'node:net'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'
import { UPSTREAM_FAULTS, type UpstreamFaults } from '../types/upstreamOptions.js'

type CountedFault = 'crossedResponses' | 'truncatedResponses'

/** The active faults of an upstream, and its connections that no longer respond. */
export class FaultInjector {
  private faults: UpstreamFaults = UPSTREAM_FAULTS.parse({})
  private readonly openSockets = new Set<Socket>()
  private readonly silentSockets = new WeakSet<Socket>()

  private constructor (private readonly random: RandomSource) {}

  static create (random: RandomSource): FaultInjector {
    return new FaultInjector(random)
  }

  current (): UpstreamFaults {
    return this.faults
  }

  /** Replaces the given fields and keeps the others. Throws if a field is unknown or its value is invalid. */
  merge (changes: unknown): void {
    this.faults = UPSTREAM_FAULTS.parse({ ...this.faults, ...changes as object })
  }

  clear (): void {
    this.faults = UPSTREAM_FAULTS.parse({})
  }

  addConnection (socket: Socket): void {
    this.openSockets.add(socket)
    socket.once('close', () => this.openSockets.delete(socket))
  }

  /** Makes a random share of the open connections stop responding for good; returns their number. */
  silenceConnections (share: number): number {
    const silenced = [...this.openSockets].filter(() => this.random.next() < share)
    for (const socket of silenced) this.silentSockets.add(socket)
    return silenced.length
  }

  isSilent (socket: Socket): boolean {
    return this.silentSockets.has(socket)
  }

  drawFastFailure (): boolean {
    const { failFastShare } = this.faults
    return failFastShare > 0 && this.random.next() < failFastShare
  }

  /** Whether the fault applies to this response; if so, decrements its count. */
  consume (fault: CountedFault): boolean {
    const remaining = this.faults[fault]
    if (remaining === 0) return false
    this.faults = { ...this.faults, [fault]: remaining - 1 }
    return true
  }
}
