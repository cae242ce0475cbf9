import { createHash } from 'node:crypto'
import type { Readable } from 'node:stream'
import { CODE_HEADER } from '@cowsliplead/daemon/utils/headers.js'
import { callerHeaders, echoedRequestId } from '@cowsliplead/platform/standin/callerHeaders.js'
import { readPattern } from '@cowsliplead/standin/utils/pattern.js'
import type { Dispatcher } from 'undici'
import type { CallPlan, SendOutcome } from '../../types/experiments.js'
import { HOST } from './callPlans.js'

/** The outcome of one send, as the caller sees it. */
export interface SendResult {
  readonly outcome: SendOutcome
  readonly code?: number
  readonly upstreamId?: string
  /** Reason of the outcome; names of measurements contain it. */
  readonly detail: string
}

interface EchoBody {
  readonly upstream: string
  readonly requestId: string
  readonly method: string
  readonly path: string
  readonly bodySha256: string
}

/** Sends a request once and verifies that the response belongs to it; times out `responseGraceMs` after the deadline. */
export async function sendCall (pool: Dispatcher, origin: string, plan: CallPlan, sendId: string, responseGraceMs: number): Promise<SendResult> {
  const timeoutSignal = AbortSignal.timeout(plan.deadlineMs + responseGraceMs)
  try {
    const { statusCode, headers, body } = await pool.request({
      origin, method: plan.method, path: plan.path, headers: headersOf(plan, sendId), body: plan.body ?? null, signal: timeoutSignal
    })
    if (statusCode === 200 && plan.kind === 'download') return await checkDownload(body, plan)
    const text = await body.text()
    if (echoedRequestId(headers) !== sendId) return { outcome: 'wrong', detail: `request id ${echoedRequestId(headers)}` }
    if (statusCode === 200) return checkEcho(text, plan, sendId)
    if (headers[CODE_HEADER] === undefined) return { outcome: 'upstreamError', detail: `status ${statusCode}` }
    return readRefusal(text)
  } catch (error) {
    return { outcome: timeoutSignal.aborted ? 'timeout' : 'cut', detail: (error as Error).message }
  }
}

function headersOf ({ kind, body, deadlineMs }: CallPlan, sendId: string): Record<string, string> {
  return {
    host: HOST,
    ...callerHeaders(sendId, deadlineMs),
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(kind === 'crashing' ? { 'x-crash': '1' } : {})
  }
}

/** Compares the upstream's echo of the request with what was sent. */
function checkEcho (text: string, plan: CallPlan, sendId: string): SendResult {
  const echo = JSON.parse(text) as EchoBody
  const bodySha256 = createHash('sha256').update(plan.body ?? '').digest('hex')
  const matchesRequest = echo.method === plan.method && echo.path === plan.path && echo.bodySha256 === bodySha256 && echo.requestId === sendId
  return { outcome: matchesRequest ? 'answered' : 'wrong', upstreamId: echo.upstream, detail: matchesRequest ? '' : text }
}

async function checkDownload (body: Readable, plan: CallPlan): Promise<SendResult> {
  let offset = 0
  for await (const chunk of body as AsyncIterable<Buffer>) {
    if (!chunk.equals(readPattern(offset, chunk.length))) return { outcome: 'wrong', detail: `bytes differ after ${offset}` }
    offset += chunk.length
  }
  if (offset !== plan.bytes) return { outcome: 'wrong', detail: `${offset} of ${plan.bytes} bytes, and no error` }
  return { outcome: 'answered', detail: '' }
}

function readRefusal (text: string): SendResult {
  const { code, name, outcome } = JSON.parse(text) as { code: number, name: string, outcome: string }
  return { outcome: outcome === 'notRun' ? 'notRun' : 'unknown', code, detail: name }
}
