import { ConfigState } from '../../src/core/configuration/configState.js'
import { KeyedCalls } from '../../src/core/keyed/keyedCalls.js'
import { KeyedIngress } from '../../src/core/keyed/keyedIngress.js'
import { keyedCallSettingsSchema } from '../../src/types/configDocument.js'
import type { HandoverPayload, KeyedAttempt, KeyedCall, KeyedPort, KeyedResult } from '../../src/types/keyedCall.js'
import { incarnationOf, memberOf, type Member } from '../../src/types/member.js'
import { STREAMS, type Stream } from './fakeLog.js'
import type { World } from './world.js'

const SETTINGS = keyedCallSettingsSchema.parse({ claimLogTimeoutMs: 60 })
const POLL_MS = 250

/** One process of an entry VM: hosts the code under test over the simulated network, log and VM list. */
export class FakeVm {
  readonly member: Member
  readonly config: ConfigState
  readonly keyed: KeyedCalls
  readonly ingress: KeyedIngress
  isAlive = true
  private pausedUntil = -Infinity
  private deferred: Array<() => void> = []
  private timerAt = Infinity
  private readonly origins = new Map<number, Member>()

  constructor (private readonly world: World, readonly vmId: string, incarnation: number) {
    const { sim, options } = world
    this.member = memberOf(vmId, incarnation)
    this.config = ConfigState.create(sim.clock)
    this.keyed = KeyedCalls.create({
      self: this.member, clock: sim.clock, port: this.createPort(), settings: SETTINGS, logRetentionMs: options.logRetentionMs, timing: options.timing
    })
    this.ingress = KeyedIngress.create(this.member, sim.clock, this.keyed, {
      forward: (call, to) => world.forward(this, call, to),
      finish: (callId, result) => world.onFinished(this, callId, result)
    })
    for (const stream of STREAMS) this.repeat(POLL_MS, () => this.poll(stream))
    this.repeat(POLL_MS, () => this.exchange())
    this.repeat(POLL_MS, () => world.readVmList(this))
  }

  get isPaused (): boolean {
    return this.world.sim.now < this.pausedUntil
  }

  pause (durationMs: number): void {
    if (this.isPaused) return
    this.pausedUntil = this.world.sim.now + durationMs
    this.world.sim.after(durationMs, () => this.resume())
  }

  resume (): void {
    this.pausedUntil = -Infinity
    for (const work of this.deferred.splice(0)) this.run(work)
  }

  /** Runs work on this process now, after its pause, or never. */
  run (work: () => void): void {
    if (!this.isAlive) return
    if (this.isPaused) {
      this.deferred.push(work)
      return
    }
    work()
    this.world.checkVm(this)
    this.armTimer()
  }

  /** Reads a stream on; the state of the log at the time of the read arrives a little later. */
  poll (stream: Stream): void {
    const { sim, log } = this.world
    const requestedAt = sim.now
    if (!log.isReachable(this.vmId) || log.stalled.has(`${this.vmId} ${stream}`)) return
    sim.after(log.latency(), () => {
      if (!log.isReachable(this.vmId)) return
      const result = log.read(stream, this.nextOffset(stream))
      sim.after(0.3, () => this.run(() => this.onRead(stream, result, requestedAt)))
    })
  }

  /** Takes a call that another VM forwarded. */
  receiveForwarded (call: KeyedCall, from: Member): void {
    this.origins.set(call.id, from)
    this.keyed.receive(call)
  }

  private repeat (everyMs: number, work: () => void): void {
    const again = () => {
      if (!this.isAlive) return
      if (!this.isPaused) this.run(work)
      this.world.sim.after(everyMs, again)
    }
    this.world.sim.after(this.world.sim.between(0, everyMs), again)
  }

  private nextOffset (stream: Stream): number {
    return stream === 'config' ? this.config.nextOffset : this.keyed.nextOffsets[stream]
  }

  private onRead (stream: Stream, { records, earliest }: ReturnType<World['log']['read']>, requestedAt: number): void {
    if (stream === 'config') {
      this.config.skipTo(earliest)
      for (const record of records) this.config.apply(record)
    } else if (stream === 'ownership') {
      this.keyed.onOwnershipGap(earliest)
      for (const record of records) this.keyed.onOwnershipRecord(record)
      this.keyed.onTail(stream, requestedAt)
    } else {
      this.keyed.onClaimsGap(earliest)
      for (const record of records) this.keyed.onClaimsRecord(record)
      this.keyed.onTail(stream, requestedAt)
    }
  }

  /** The regular exchange with peers, reduced to what the code under test needs. */
  private exchange (): void {
    const peers = this.world.reachableFrom(this)
    this.keyed.setPeers(peers.map(peer => peer.member))
    for (const peer of peers) {
      if (this.keyed.needsPeerTables) this.world.send(this, peer.member, () => peer.keyed.ownershipTable(), table => this.keyed.onPeerTable(peer.member, table))
    }
    const peer = peers.length === 0 ? undefined : this.world.sim.pick(peers)
    if (peer !== undefined) this.world.send(this, peer.member, () => peer.config.snapshot(), snapshot => this.config.adoptPeerState(snapshot))
    const stuck = !this.config.isComplete && peers.length === this.world.alive.length - 1 && peers.every(other => !other.config.isComplete)
    const rebase = stuck ? this.config.createRebase() : undefined
    if (rebase !== undefined) this.world.log.append(this.vmId, 'config', JSON.stringify(rebase))
    const { logRetentionMs } = this.world.options
    const checkpoint = this.config.dueCheckpoint(logRetentionMs, incarnationOf(this.member) % 4, 4)
    if (checkpoint !== undefined) this.world.log.append(this.vmId, 'config', JSON.stringify(checkpoint))
  }

  private armTimer (): void {
    const next = Math.min(this.keyed.nextTimerAt(), this.ingress.nextTimerAt())
    if (next >= this.timerAt) return
    this.timerAt = next
    this.world.sim.after(Math.max(0, next - this.world.sim.now), () => {
      if (this.timerAt !== next) return
      this.timerAt = Infinity
      this.run(() => {
        this.keyed.tick()
        this.ingress.tick()
      })
    })
  }

  private createPort (): KeyedPort {
    const { world } = this
    return {
      append: (stream, data) => world.append(this, stream, data),
      requestWitness: request => world.send(this, request.to, vm => vm.keyed.witness(request), answer => this.keyed.onWitnessAnswer(request.id, answer)),
      requestWitnessedClaims: request => world.send(this, request.to, vm => vm.keyed.witnessedClaims(request), answer => this.keyed.onCollectAnswer(request.id, answer)),
      sendHandover: (payload: HandoverPayload) => world.send(this, payload.to, vm => vm.keyed.receiveHandover(payload), () => undefined),
      startAttempt: (attempt: KeyedAttempt) => world.runAttempt(this, attempt),
      answer: (callId, result) => this.answer(callId, result)
    }
  }

  private answer (callId: number, result: KeyedResult): void {
    const origin = this.origins.get(callId)
    this.origins.delete(callId)
    if (origin === undefined) this.ingress.onOwnResult(callId, result)
    else this.world.send(this, origin, vm => vm.ingress.onForwarded(callId, result), () => undefined)
  }
}
