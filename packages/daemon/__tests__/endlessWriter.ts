import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** Where a reader without a limit is stopped, to spare the machine that runs the test. */
const STOP_BYTES = 96 * 1024 * 1024

/** Options of an endless writer. */
export interface EndlessWriterOptions {
  /** What it sends first, on each connection. */
  readonly start: string
  /** What it then sends again and again. */
  readonly part: Buffer
}

/** A server that answers the first bytes on each connection without end, as fast as the other side reads. */
export class EndlessWriter {
  /** Bytes that all connections have taken. */
  taken = 0
  readonly sockets: Socket[] = []
  private readonly server: Server

  private constructor (private readonly options: EndlessWriterOptions) {
    this.server = createServer(socket => {
      this.sockets.push(socket)
      socket.on('error', () => {})
      socket.once('data', () => this.writeTo(socket))
    })
  }

  static async start (options: EndlessWriterOptions): Promise<EndlessWriter> {
    const writer = new EndlessWriter(options)
    await new Promise<void>(resolve => writer.server.listen(0, '127.0.0.1', resolve))
    return writer
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  private writeTo (socket: Socket): void {
    const { start, part } = this.options
    const writeMore = (): void => {
      while (!socket.destroyed && this.taken < STOP_BYTES && this.write(socket, part));
    }
    socket.write(start)
    socket.on('drain', writeMore)
    writeMore()
  }

  private write (socket: Socket, part: Buffer): boolean {
    return socket.write(part, error => {
      if (error == null) this.taken += part.length
    })
  }
}
