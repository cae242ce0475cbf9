import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'

/** A child process to start. */
export interface ProcessSpec {
  readonly name: string
  /** Path of the compiled script that Node.js runs. */
  readonly script: string
  readonly args: readonly string[]
}

/** Exit code or signal of a child process that ended. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** Receives output of the process with this name. */
export type OutputListener = (name: string, chunk: Buffer) => void

interface Member {
  readonly child: ChildProcess
  readonly exited: Promise<ProcessExit>
  /** The last lines of its output, for error messages. */
  readonly tail: string[]
}

const TAIL_LINES = 20
const READY_POLL_MS = 50
const STOP_TIMEOUT_MS = 10_000

/** The child processes of one demo or benchmark, which are stopped together. */
export class ProcessGroup {
  private readonly members = new Map<string, Member>()

  private constructor (private readonly onOutput: OutputListener) {}

  /** `onOutput` receives all output of the processes. */
  static create (onOutput: OutputListener = () => {}): ProcessGroup {
    return new ProcessGroup(onOutput)
  }

  /** Starts a process. Its output is not printed; `outputTail` returns the end of it. */
  start (spec: ProcessSpec): void {
    const child = spawn(process.execPath, [spec.script, ...spec.args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const tail: string[] = []
    const onOutput = (chunk: Buffer) => {
      appendToTail(tail, chunk)
      this.onOutput(spec.name, chunk)
    }
    child.stdout?.on('data', onOutput)
    child.stderr?.on('data', onOutput)
    const exited = once(child, 'exit').then(([code, signal]) => ({ code, signal }) as ProcessExit)
    this.members.set(spec.name, { child, exited, tail })
  }

  /** Sends a signal to one process. */
  signal (name: string, signal: NodeJS.Signals): void {
    this.member(name).child.kill(signal)
  }

  /** Resolves when the process has exited. */
  waitForExit (name: string): Promise<ProcessExit> {
    return this.member(name).exited
  }

  /** Whether the process has not exited yet. */
  isRunning (name: string): boolean {
    const { exitCode, signalCode } = this.member(name).child
    return exitCode === null && signalCode === null
  }

  /** Process id, for reading memory use and CPU time. */
  pid (name: string): number {
    const { pid } = this.member(name).child
    if (pid === undefined) throw new Error(`${name} did not start`)
    return pid
  }

  /** The last lines of output of a process. */
  outputTail (name: string): string {
    return this.member(name).tail.join('\n')
  }

  /** Names of all processes started since the last `stopAll`, including those that have exited. */
  names (): string[] {
    return [...this.members.keys()]
  }

  /** Waits until `url` responds with a 2xx status; throws on timeout, or as soon as the process exits. */
  async waitUntilReady (name: string, url: string, timeoutMs: number): Promise<void> {
    const deadline = Date.now() + timeoutMs
    while (Date.now() < deadline) {
      const { child } = this.member(name)
      if (child.exitCode !== null) throw new Error(`${name} exited with code ${child.exitCode}:\n${this.outputTail(name)}`)
      if (await respondsOk(url)) return
      await delay(READY_POLL_MS)
    }
    throw new Error(`${name} was not ready at ${url} within ${timeoutMs} ms:\n${this.outputTail(name)}`)
  }

  /** Stops all processes: SIGTERM twice, then SIGKILL after a timeout. */
  async stopAll (): Promise<void> {
    await Promise.all([...this.members.values()].map(stopMember))
    this.members.clear()
  }

  private member (name: string): Member {
    const member = this.members.get(name)
    if (member === undefined) throw new Error(`no process is named ${name}`)
    return member
  }
}

function appendToTail (tail: string[], chunk: Buffer): void {
  tail.push(...chunk.toString('utf8').trimEnd().split('\n'))
  tail.splice(0, Math.max(0, tail.length - TAIL_LINES))
}

async function respondsOk (url: string): Promise<boolean> {
  try {
    const response = await fetch(url)
    await response.arrayBuffer()
    return response.ok
  } catch {
    return false
  }
}

async function stopMember (member: Member): Promise<void> {
  if (member.child.exitCode !== null || member.child.signalCode !== null) return
  // A daemon drains on the first signal and exits at once on the second.
  member.child.kill('SIGTERM')
  member.child.kill('SIGTERM')
  const timer = setTimeout(() => member.child.kill('SIGKILL'), STOP_TIMEOUT_MS)
  await member.exited
  clearTimeout(timer)
}
