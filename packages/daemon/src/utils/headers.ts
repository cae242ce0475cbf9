/** Echoed by upstreams; a response that carries another id belongs to another request. */
export const REQUEST_ID_HEADER = 'x-request-id'
/** Absolute deadline in milliseconds since the epoch; upstreams refuse to run requests that arrive later. */
export const DEADLINE_HEADER = 'x-deadline-at'
/** Remaining time until the deadline in milliseconds, for upstreams whose clock differs. */
export const TIMEOUT_HEADER = 'x-timeout-ms'
/** Load report of an upstream, as JSON. */
export const LOAD_REPORT_HEADER = 'x-load-report'
/** Requests per second that an upstream takes from all VMs together, as a decimal number; absent if it names no limit. */
export const REQUEST_RATE_HEADER = 'x-request-rate'
/** `1` on a 503 response by which an upstream states that it did not run the request. */
export const NOT_RUN_HEADER = 'x-not-run'
/** Number of the result code, on error responses that the daemon generates. */
export const CODE_HEADER = 'x-cowsliplead-code'
/** Key by which a caller identifies repeats of a request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

/** Carries a caller's key. */
export const AUTHORIZATION_HEADER = 'authorization'
/** Name of the customer, set towards upstreams. */
export const CUSTOMER_HEADER = 'x-customer'

/** Request header that states what another VM asks for. */
export const PEER_PURPOSE_HEADER = 'x-cowsliplead-peer'
/** Id of the VM that hands a request over. */
export const PEER_SENDER_HEADER = 'x-cowsliplead-peer-vm'
/** Time since the request arrived at the VM that hands it over, in milliseconds. */
export const PEER_ELAPSED_HEADER = 'x-cowsliplead-peer-elapsed-ms'
/** On responses that the receiving VM generates itself: the reason. Upstreams cannot set it. */
export const PEER_RESULT_HEADER = 'x-cowsliplead-peer-result'
/** Present if only the close of the upstream's connection has ended the response. */
export const PEER_UNFRAMED_HEADER = 'x-cowsliplead-peer-unframed'

/**
 * Headers that concern one connection only (RFC 9110 section 7.6.1) or one hop between VMs, and `expect`, which is answered at
 * the first hop.
 */
const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  PEER_PURPOSE_HEADER, PEER_SENDER_HEADER, PEER_ELAPSED_HEADER, PEER_RESULT_HEADER, PEER_UNFRAMED_HEADER
])

/** Lower-case names listed in the `connection` header, which are hop-by-hop too. */
function connectionOptions (value: string | undefined): ReadonlySet<string> {
  if (value === undefined || /^(keep-alive|close)$/i.test(value)) return NONE
  return new Set(value.toLowerCase().split(',').map(option => option.trim()))
}

const NONE: ReadonlySet<string> = new Set()

/** End-to-end headers of a caller's request without `dropped`, as alternating names and values. */
export function requestHeaders (raw: readonly string[], connection: string | undefined, dropped: ReadonlySet<string>): string[] {
  return endToEnd(raw, connectionOptions(connection), dropped)
}

/** End-to-end headers of an upstream's response without `dropped`, as alternating names and values. */
export function responseHeaders (raw: readonly string[], dropped: ReadonlySet<string>): string[] {
  return endToEnd(raw, connectionOptions(findHeader(raw, 'connection')), dropped)
}

function endToEnd (raw: readonly string[], listed: ReadonlySet<string>, dropped: ReadonlySet<string>): string[] {
  const kept: string[] = []
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = (raw[i] as string).toLowerCase()
    if (HOP_BY_HOP.has(name) || dropped.has(name) || listed.has(name)) continue
    kept.push(raw[i] as string, raw[i + 1] as string)
  }
  return kept
}

/** The value of the first header called `name`, which must be in lower case. */
export function findHeader (raw: readonly string[], name: string): string | undefined {
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const candidate = raw[i] as string
    if (candidate.length === name.length && candidate.toLowerCase() === name) return raw[i + 1]
  }
  return undefined
}

/** Idle timeout that a `Keep-Alive` header announces, in milliseconds; undefined if there is none. */
export function keepAliveMs (raw: readonly string[]): number | undefined {
  const seconds = /timeout\s*=\s*(\d{1,6})/i.exec(findHeader(raw, 'keep-alive') ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * 1000
}

/** A text as the value of a header, in UTF-8; heads are written one byte for each character. */
export function headerValue (text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1')
}

/** The token of an `Authorization` header with the Bearer scheme (RFC 6750 section 2.1); undefined if it has none. */
export function bearerToken (authorization: string | undefined): string | undefined {
  return /^bearer +(\S+) *$/i.exec(authorization ?? '')?.[1]
}
