import { write } from 'node:fs'
import { Writable } from 'node:stream'

const STDOUT_FD = 1

/** Bytes that may wait to be written; lines beyond that are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024

/** Writes bytes to a file descriptor. */
export type FdWriter = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/**
 * Non-blocking standard output. Node writes to a pipe synchronously, so a reader that stops reading would block the
 * event loop. Here, writes go through the thread pool, and lines that exceed the backlog are dropped and counted.
 */
export class BoundedOutput extends Writable {
  /** Lines dropped since the start; a failed write counts once. */
  dropped = 0
  /** Writes since the start; one writes all lines that wait. */
  writes = 0
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
    if (this.backlogBytes + line.length > MAX_BACKLOG_BYTES) this.dropped += 1
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
    this.writes += 1
    this.writer(bytes, (error, written) => this.onWritten(bytes, error, written))
  }

  private onWritten (bytes: Buffer, error: Error | null, written: number): void {
    this.isWriting = false
    const isPartial = error === null && written < bytes.length
    // Nothing reads the output any more, and there is no other place to report the loss.
    if (error !== null) this.dropped += 1
    this.backlogBytes -= isPartial ? written : bytes.length
    if (isPartial) this.backlog.unshift(bytes.subarray(written))
    this.writeBacklog()
  }
}
