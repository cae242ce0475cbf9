import { write } from 'node:fs'
import { Writable } from 'node:stream'

const STDOUT_FD = 1

/** Lines that wait for the reader of the output, above which further ones are dropped. */
const LARGEST_BACKLOG_BYTES = 256 * 1024

/** Writes bytes to a file descriptor. */
export type FdWriter = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/**
 * Standard output without blocking: Node writes to a pipe synchronously, so that a reader that stops reading would stop
 * the event loop. Writes go through the thread pool, and lines beyond the backlog are dropped and counted.
 */
export class BoundedOutput extends Writable {
  /** Lines that were dropped since the start. */
  dropped = 0
  private backlog: Buffer[] = []
  private backlogBytes = 0
  private isWriting = false

  private constructor (private readonly writer: FdWriter) {
    super({ decodeStrings: true })
  }

  static create (writer: FdWriter = (bytes, done) => write(STDOUT_FD, bytes, done)): BoundedOutput {
    return new BoundedOutput(writer)
  }

  override _write (line: Buffer, _encoding: BufferEncoding, done: () => void): void {
    if (this.backlogBytes + line.length > LARGEST_BACKLOG_BYTES) this.dropped += 1
    else this.append(line)
    done()
  }

  private append (line: Buffer): void {
    this.backlog.push(line)
    this.backlogBytes += line.length
    if (!this.isWriting) this.writeBacklog()
  }

  private writeBacklog (): void {
    if (this.backlog.length === 0) return
    const bytes = Buffer.concat(this.backlog)
    this.backlog = []
    this.isWriting = true
    this.writer(bytes, (error, written) => this.onWritten(bytes, error, written))
  }

  private onWritten (bytes: Buffer, error: Error | null, written: number): void {
    this.isWriting = false
    const isPending = error === null && written < bytes.length
    // Nobody is left to read; the lines cannot be reported anywhere else.
    if (error !== null) this.dropped += 1
    this.backlogBytes -= isPending ? written : bytes.length
    if (isPending) this.backlog.unshift(bytes.subarray(written))
    this.writeBacklog()
  }
}
