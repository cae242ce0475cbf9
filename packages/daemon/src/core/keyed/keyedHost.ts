import { hash } from 'node:crypto'
import { KeyedCalls } from '@cowsliplead/core/core/keyed/keyedCalls.js'
import { KeyedIngress, type IngressPort } from '@cowsliplead/core/core/keyed/keyedIngress.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { keyedCallSettingsSchema } from '@cowsliplead/core/types/configDocument.js'
import type {
  CollectRequest, HandoverPayload, KeyedAttempt, KeyedCall, KeyedEnd, KeyedPort, KeyedResult, WitnessRequest
} from '@cowsliplead/core/types/keyedCall.js'
import { vmIdOf, type Member } from '@cowsliplead/core/types/member.js'
import { RESULT_CODES } from '@cowsliplead/core/types/resultCode.js'
import type { KeyedRequest, KeyedRunner } from '../../types/keyedRunner.js'
import type { JsonValue, Log } from '../../types/platform.js'
import type { RunKeyedMessage } from '../../types/peerMessages.js'
import type { ResponseSink } from '../../types/responseSink.js'
import { responseHeaders } from '../../utils/headers.js'
import { decodeResult, encodeHandover, groupHeaders, listHeaders } from '../../utils/peerCodec.js'
import { CallRun } from '../callers/callRun.js'
import { ProductDialect } from '../productDialect.js'
import { CaptureSink, type Captured } from './captureSink.js'
import type { PeerCaller } from '../peers/peerClients.js'
import type { RequestIds } from '../callers/requestIds.js'
import type { Services } from '../services.js'
import type { Ticking, TickTimer } from '../supervision/tickTimer.js'

const WITNESS_TIMEOUT_MS = 250
const COLLECT_TIMEOUT_MS = 2000
const HANDOVER_TIMEOUT_MS = 5000

const DIALECT = ProductDialect.create()

/** Time beyond the deadline for the owner's answer to travel back. */
const FORWARD_GRACE_MS = 200

/** Longer keys are hashed; core accepts 256 characters. */
const LONGEST_KEY = 200

/** What the host of keyed calls is made of. */
export interface KeyedHostOptions {
  readonly self: Member
  readonly clock: Clock
  readonly log: Log
  readonly ids: RequestIds
  readonly services: Services
  readonly tickTimer: TickTimer
  readonly logRetentionMs: Milliseconds
  readonly peers: PeerCaller
}

/** Carries out what core decides about keyed calls, on the owner's and on the ingress VM's side. */
export class KeyedHost implements KeyedPort, IngressPort, KeyedRunner, Ticking {
  readonly keyed: KeyedCalls
  private readonly ingress: KeyedIngress
  /** Requests of calls that may still have to be sent, by call id. */
  private readonly requests = new Map<number, KeyedRequest>()
  private readonly sinks = new Map<number, ResponseSink>()
  /** Calls that other VMs forwarded. */
  private readonly forwarded = new Map<number, (result: KeyedResult) => void>()

  private constructor (private readonly options: KeyedHostOptions) {
    const { self, clock, logRetentionMs } = options
    this.keyed = KeyedCalls.create({ self, clock, port: this, settings: keyedCallSettingsSchema.parse({}), logRetentionMs })
    this.ingress = KeyedIngress.create(self, clock, this.keyed, this)
    options.tickTimer.add(this)
  }

  static create (options: KeyedHostOptions): KeyedHost {
    return new KeyedHost(options)
  }

  /** Calls under way that other VMs forwarded. */
  get forwardedInFlight (): number {
    return this.forwarded.size
  }

  /** The state for the dump. */
  describe (): Record<string, unknown> {
    const { isInDoubt, ownedCount, openCount, nextOffsets } = this.keyed
    return { isInDoubt, ownedCount, openCount, nextOffsets, ownCalls: this.ingress.openCount, forwardedCalls: this.forwarded.size }
  }

  run (request: KeyedRequest, sink: ResponseSink): void {
    const { call } = request
    this.requests.set(call.id, request)
    this.sinks.set(call.id, sink)
    const { arrivedAt, deadlineAt } = call
    this.ingress.submit({ id: call.id, key: scopedKey(request), fingerprint: fingerprintOf(request), arrivedAt, deadlineAt })
    this.afterEvent()
  }

  /** Runs a call that another VM forwarded because this one owns its key. */
  runForwarded (message: RunKeyedMessage): Promise<KeyedResult> {
    const { call } = message
    if (message.to !== this.options.self) return Promise.resolve({ kind: 'notOwner', entry: this.keyed.ownerOfKey(call.key) })
    // Ids of calls are unique within one VM only.
    const id = this.options.ids.nextCallId()
    this.requests.set(id, fromMessage(id, message))
    return new Promise(resolve => {
      this.forwarded.set(id, resolve)
      this.keyed.receive({ ...call, id })
      this.afterEvent()
    })
  }

  /** Runs `event` on core and arms the timer for what follows from it. */
  feed<Answer> (event: (keyed: KeyedCalls) => Answer): Answer {
    const answer = event(this.keyed)
    this.afterEvent()
    return answer
  }

  nextTimerAt (): Milliseconds {
    return Math.min(this.keyed.nextTimerAt(), this.ingress.nextTimerAt())
  }

  tick (): void {
    this.keyed.tick()
    this.ingress.tick()
  }

  append (stream: 'claims' | 'ownership', data: string): void {
    // Success is recognised by reading the record back.
    void this.options.log.append(stream, JSON.parse(data) as JsonValue)
  }

  requestWitness (request: WitnessRequest): void {
    const { id, from, to, at, claims, partitions } = request
    const message = { id, from, to, at, claims: [...claims], partitions: [...partitions] }
    this.options.peers.ask(vmIdOf(to), WITNESS_TIMEOUT_MS, (client, signal) => client.peer.witness.mutate(message, { signal }))
      .then(answer => this.feed(keyed => keyed.onWitnessAnswer(id, answer ?? undefined)))
  }

  requestWitnessedClaims (request: CollectRequest): void {
    const message = { ...request, partitions: [...request.partitions] }
    this.options.peers.ask(vmIdOf(request.to), COLLECT_TIMEOUT_MS, (client, signal) => client.peer.witnessedClaims.mutate(message, { signal }))
      .then(answer => this.feed(keyed => keyed.onCollectAnswer(request.id, answer ?? undefined)))
  }

  sendHandover (payload: HandoverPayload): void {
    const message = encodeHandover(payload)
    void this.options.peers.ask(vmIdOf(payload.to), HANDOVER_TIMEOUT_MS, (client, signal) => client.peer.receiveHandover.mutate(message, { signal }))
  }

  startAttempt (attempt: KeyedAttempt): void {
    const request = this.requests.get(attempt.callId)
    const host = request && this.options.services.hostOf(request.service)
    // Deferred, so that core never sees an end while it is still starting the attempt.
    const end = (end: KeyedEnd): void => queueMicrotask(() => this.feed(keyed => keyed.onAttemptEnd(attempt.attemptId, end)))
    if (request === undefined || host === undefined) return end({ kind: 'notRun', code: 'noUpstream' })
    const call = { ...request.call, id: this.options.ids.nextCallId(), deadlineAt: attempt.deadlineAt }
    const sink = CaptureSink.create(captured => end(toKeyedEnd(captured)))
    host.submit(CallRun.create(call, request.request, sink, DIALECT))
  }

  answer (callId: number, result: KeyedResult): void {
    const resolve = this.forwarded.get(callId)
    if (resolve === undefined) return this.ingress.onOwnResult(callId, result)
    this.forwarded.delete(callId)
    this.requests.delete(callId)
    resolve(result)
  }

  forward (call: KeyedCall, to: Member): void {
    const request = this.requests.get(call.id)
    const timeoutMs = Math.max(call.deadlineAt - this.options.clock.now(), 0) + FORWARD_GRACE_MS
    const message = request && toMessage(to, call, request)
    this.options.peers.ask(vmIdOf(to), timeoutMs, async (client, signal) => message && client.peer.runKeyed.mutate(message, { signal }))
      .then(answer => {
        this.ingress.onForwarded(call.id, answer && decodeResult(answer))
        this.afterEvent()
      })
  }

  finish (callId: number, result: KeyedResult): void {
    const sink = this.sinks.get(callId)
    this.sinks.delete(callId)
    this.requests.delete(callId)
    if (sink !== undefined) deliver(sink, result)
  }

  private afterEvent (): void {
    this.options.tickTimer.reschedule(this)
  }
}

/** Keys of different services are different keys. */
function scopedKey ({ key, service }: KeyedRequest): string {
  return key.length > LONGEST_KEY ? `${service}#${hash('sha256', key, 'base64')}` : `${service}/${key}`
}

function fingerprintOf ({ request }: KeyedRequest): string {
  const head = Buffer.from(`${request.method} ${request.path}\n`)
  const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
  return hash('sha256', Buffer.concat([head, body]), 'base64')
}

function toMessage (to: Member, call: KeyedCall, { service, call: { kind }, request }: KeyedRequest): RunKeyedMessage {
  const { method, path, headers, body, requestId } = request
  const bytes = Buffer.isBuffer(body) ? body.toString('base64') : null
  return { to, call: { ...call }, request: { service, kind, method, path, headers: [...headers], body: bytes, requestId } }
}

function fromMessage (id: number, { call, request }: RunKeyedMessage): KeyedRequest {
  const { service, kind, body, ...rest } = request
  const { key, fingerprint, arrivedAt, deadlineAt } = call
  return {
    key,
    service,
    call: { id, kind, arrivedAt, deadlineAt, fingerprint, replayable: true },
    request: { ...rest, body: body === null ? null : Buffer.from(body, 'base64') }
  }
}

function toKeyedEnd (captured: Captured): KeyedEnd {
  if (captured.kind === 'tooLong') return { kind: 'outcomeUnknown', code: 'alreadyRan' }
  if (captured.kind === 'refused') {
    return { kind: RESULT_CODES[captured.code].outcome === 'notRun' ? 'notRun' : 'outcomeUnknown', code: captured.code }
  }
  const { head, body } = captured
  return { kind: 'response', response: { status: head.status, headers: groupHeaders(responseHeaders(head.rawHeaders, DIALECT.keptFromCallers)), body } }
}

function deliver (sink: ResponseSink, result: KeyedResult): void {
  if (result.kind === 'response') {
    const { status, headers, body } = result.response
    sink.deliver({ status, rawHeaders: listHeaders(headers), isFramed: true }, [Buffer.from(body.buffer, body.byteOffset, body.byteLength)])
  } else if (result.kind === 'alreadyRan') {
    sink.refuse('alreadyRan', `the response had status ${result.status}`, { status: result.status })
  } else {
    sink.refuse(result.kind === 'notOwner' ? 'ownerUnreachable' : result.code, '')
  }
}
