import { connect, type Socket } from 'node:net'

/** A caller that sends requests without waiting for the responses to earlier ones. */
export class PipeliningCaller {
  /** All bytes received, one character each. */
  received = ''
  /** Whether the daemon has closed the connection. */
  isClosed = false

  private constructor (private readonly socket: Socket) {
    socket.on('data', chunk => {
      this.received += chunk.toString('latin1')
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      this.isClosed = true
    })
  }

  static connect (port: number): PipeliningCaller {
    return new PipeliningCaller(connect({ port, host: '127.0.0.1', noDelay: true }))
  }

  /** Sends GET requests in one write. */
  get (...paths: string[]): void {
    this.socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n`).join(''))
  }

  /** Sends any bytes. */
  write (bytes: string): void {
    this.socket.write(bytes)
  }

  /** Closes the connection, in order or with a reset. */
  leave (how: 'close' | 'reset' = 'close'): void {
    if (how === 'reset') this.socket.resetAndDestroy()
    else this.socket.destroy()
  }

  /** Statuses of the responses whose heads have arrived. */
  get statuses (): number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status))
  }
}
