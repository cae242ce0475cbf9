import { write } from 'node:fs'
import { Writable } from 'node:stream'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

const STDOUT_FD = 1

/** Bytes that may wait to be written; lines beyond that are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024

/** How long lines wait for further ones: each write wakes another thread, which costs more than the line. */
const STDOUT_DELAY_MS: Milliseconds = 50

/** Longest wait for the last lines of a process that ends. */
const FLUSH_TIMEOUT_MS: Milliseconds = 200

/** Writes bytes to a file descriptor. */
export type FdWriter = (bytes: Buffer, done: (error: Error | null, written: number) => void) => void

/**
 * Non-blocking standard output. Node writes to a pipe synchronously, so a reader that stops reading would block the
 * event loop. Here, writes go through the thread pool, the lines of a moment in one, and lines that exceed the backlog are
 * dropped and counted.
 */
export class BoundedOutput extends Writable {
  /** Lines dropped since the start; a failed write counts once. */
  dropped = 0
  /** Writes since the start; one writes all lines that wait. */
  writes = 0
  private backlog: Buffer[] = []
  private backlogBytes = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined
  private onDrained: () => void = () => {}

  private constructor (private readonly writer: FdWriter, private readonly delayMs: Milliseconds) {
    super({ decodeStrings: true })
  }

  /** Lines wait up to `delayMs` for further ones. */
  static create (writer: FdWriter, delayMs: Milliseconds = 0): BoundedOutput {
    return new BoundedOutput(writer, delayMs)
  }

  static createForStdout (): BoundedOutput {
    return BoundedOutput.create((bytes, done) => write(STDOUT_FD, bytes, done), STDOUT_DELAY_MS)
  }

  /** Writes the lines that wait; resolves when they are written, or the reader does not take them in time. */
  async flush (): Promise<void> {
    if (!this.isWriting) this.writeBacklog()
    if (!this.isWriting) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, FLUSH_TIMEOUT_MS)
      this.onDrained = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  override _write (line: Buffer, _encoding: BufferEncoding, done: () => void): void {
    if (this.backlogBytes + line.length > MAX_BACKLOG_BYTES) this.dropped += 1
    else this.append(line)
    done()
  }

  private append (line: Buffer): void {
    this.backlog.push(line)
    this.backlogBytes += line.length
    if (this.isWriting || this.timer !== undefined) return
    if (this.delayMs === 0) this.writeBacklog()
    else this.timer = setTimeout(() => this.writeBacklog(), this.delayMs)
  }

  private writeBacklog (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    if (this.backlog.length === 0) return this.onDrained()
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
