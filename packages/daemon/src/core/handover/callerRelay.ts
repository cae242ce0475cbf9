import type { ServerResponse } from 'node:http'
import type { ResponseHead } from '../../types/responseSink.js'
import { responseHeaders } from '../../utils/headers.js'

const NO_HEADERS: ReadonlySet<string> = new Set()

/** Passes another VM's response on to a caller, unchanged. */
export class CallerRelay {
  private constructor (private readonly response: ServerResponse, private readonly closesConnection: () => boolean) {}

  static create (response: ServerResponse, closesConnection: () => boolean): CallerRelay {
    return new CallerRelay(response, closesConnection)
  }

  start (head: ResponseHead): void {
    const headers = responseHeaders(head.rawHeaders, NO_HEADERS)
    if (this.closesConnection() || !head.isFramed) headers.push('connection', 'close')
    // The caller's body is delimited in the same way as the upstream's.
    if (!head.isFramed) this.response.useChunkedEncodingByDefault = false
    this.response.writeHead(head.status, headers)
  }

  /** Returns false to request a pause until the response drains. */
  write (chunk: Buffer): boolean {
    return this.response.write(chunk)
  }

  end (): void {
    this.response.end()
  }

  /** Closes the connection, so that what was sent does not look complete. */
  abort (): void {
    this.response.destroy()
  }
}
