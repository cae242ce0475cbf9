import type { IncomingMessage, ServerResponse } from 'node:http'
import type { HandoverLimit } from '@cowsliplead/core/core/handover/handoverLimit.js'
import type { ReceiverChoice } from '@cowsliplead/core/core/handover/receiverChoice.js'
import type { UpstreamReachability } from '@cowsliplead/core/core/handover/upstreamReachability.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { dropRest } from '../../utils/dropRest.js'
import { PEER_ELAPSED_HEADER, PEER_RESULT_HEADER, PEER_SENDER_HEADER } from '../../utils/headers.js'

/** Longest time that is believed to have passed at the sender. */
const MAX_ELAPSED_MS: Milliseconds = 60_000

/** Options of the receiver. */
export interface HandoverReceiverOptions {
  readonly reachability: UpstreamReachability
  readonly choice: ReceiverChoice
  readonly limit: HandoverLimit
  readonly isStopping: () => boolean
  /** Serves a request as if its caller had sent it here, except that it is not handed over again. */
  readonly serve: (request: IncomingMessage, response: ServerResponse, elapsedMs: Milliseconds) => void
}

/** Takes requests that other VMs hand over, as far as this VM reaches upstreams and has room. */
export class HandoverReceiver {
  /** Requests since the start, by outcome. */
  readonly outcomes = new Map<string, number>()

  private constructor (private readonly options: HandoverReceiverOptions) {}

  static create (options: HandoverReceiverOptions): HandoverReceiver {
    return new HandoverReceiver(options)
  }

  /** Requests in progress that other VMs have handed over. */
  get inProgress (): number {
    return this.options.limit.inProgress
  }

  handle (request: IncomingMessage, response: ServerResponse): void {
    const { choice, limit, serve } = this.options
    const sender = request.headers[PEER_SENDER_HEADER]
    if (typeof sender === 'string') choice.avoid(sender, 'cutOff')
    const refusal = this.refusal()
    this.count(refusal ?? 'taken')
    if (refusal !== undefined) {
      dropRest(request, response)
      return void response.writeHead(503, { [PEER_RESULT_HEADER]: refusal, 'content-length': 0 }).end()
    }
    response.once('close', () => limit.leave())
    serve(request, response, elapsedMsOf(request))
  }

  private refusal (): string | undefined {
    const { reachability, limit, isStopping } = this.options
    if (isStopping()) return 'stopping'
    if (reachability.state === 'cutOff') return 'cutOff'
    return limit.tryEnter() ? undefined : 'full'
  }

  private count (outcome: string): void {
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1)
  }
}

function elapsedMsOf ({ headers }: IncomingMessage): Milliseconds {
  const value = Number(headers[PEER_ELAPSED_HEADER] ?? 0)
  return value >= 0 ? Math.min(value, MAX_ELAPSED_MS) : 0
}
