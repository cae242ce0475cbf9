import type { AttemptEnd } from '@cowsliplead/core/types/dispatch.js'
import type { LoadReport } from '@cowsliplead/core/types/upstream.js'
import type { PlannedCall, UpstreamPlan } from '../../types/decisions.js'
import type { EventQueue } from '../../utils/eventQueue.js'
import { slowdownAt } from './upstreamPlans.js'

/** Response time of an upstream that fails every request immediately. */
const FAST_FAILURE_MS = 0.3

/** Time from the start of a crashing request to the crash. */
const CRASH_AFTER_MS = 2
/** Time from the crash until connections are accepted again. */
const RESTART_MS = 200

/** Queued requests per slot beyond which an upstream sheds load. */
const MAX_QUEUED_PER_SLOT = 8

/** One request on its way to or at an upstream. */
export interface Job {
  readonly call: PlannedCall
  /** Time on a slot of an upstream of speed 1. */
  readonly workMs: number
  readonly deadlineAt: number
  /** Called when the upstream sends its response or closes the connection. */
  readonly respond: (end: AttemptEnd) => void
  state: 'new' | 'queued' | 'running' | 'finished'
}

/** Simulates an upstream: slots, a FIFO queue, deadlines, cancellation, draining, load shedding and faults. */
export class FakeUpstream {
  running = 0
  private queue: Job[] = []
  private readonly runningJobs = new Set<Job>()
  private downUntil = 0
  private readonly loadHistory: LoadReport[] = []

  private constructor (
    readonly plan: UpstreamPlan,
    private readonly events: EventQueue,
    private readonly onRun: (call: PlannedCall) => void,
    private readonly onCrash: () => void
  ) {}

  static create (plan: UpstreamPlan, events: EventQueue, onRun: (call: PlannedCall) => void, onCrash: () => void): FakeUpstream {
    return new FakeUpstream(plan, events, onRun, onCrash)
  }

  get queued (): number {
    return this.queue.length
  }

  get isDraining (): boolean {
    return this.events.now() >= this.plan.drainFrom
  }

  get isFailing (): boolean {
    return this.events.now() >= this.plan.failFrom
  }

  get isDown (): boolean {
    const now = this.events.now()
    return now < this.downUntil || now < this.plan.joinAt
  }

  /** Starts or queues a request, or refuses it. */
  receive (job: Job): void {
    if (this.isDown) return this.refuseConnection(job)
    if (this.isFailing) return this.failImmediately(job)
    if (this.isDraining || this.isPastDeadline(job)) return this.refuse(job)
    if (this.running < this.plan.slots) return this.start(job)
    if (this.queue.length >= MAX_QUEUED_PER_SLOT * this.plan.slots) return this.refuse(job)
    job.state = 'queued'
    this.queue.push(job)
    this.recordLoad()
  }

  /** The entry VM closed the connection of a request: removes it from the queue, or stops it if it is cancellable. */
  cancel (job: Job): void {
    if (job.state === 'queued') {
      job.state = 'finished'
      this.queue = this.queue.filter(other => other !== job)
    } else if (job.state === 'running' && job.call.load.kind.cancellable) {
      this.releaseSlot(job)
      this.startNext()
    }
  }

  /** Creates a load report according to the plan's report mode and lag. */
  report (): LoadReport {
    const { reportMode, slots, reportLagMs } = this.plan
    if (reportMode === 'alwaysEmpty') return this.createReport(0, 0)
    if (reportMode === 'alwaysFull') return this.createReport(slots, 2 * slots)
    if (reportLagMs > 0) return this.reportAt(this.events.now() - reportLagMs)
    return this.createReport(this.running, this.queue.length)
  }

  private createReport (inFlight: number, queued: number): LoadReport {
    return { inFlight, queued, slots: this.plan.slots, draining: this.isDraining, receivedAt: this.events.now() }
  }

  /** Reports the load as it was at `instant`. Discards older history, so that instants must not decrease. */
  private reportAt (instant: number): LoadReport {
    while (this.loadHistory.length > 1 && this.loadHistory[1]!.receivedAt <= instant) this.loadHistory.shift()
    const snapshot = this.loadHistory[0]
    if (snapshot === undefined || snapshot.receivedAt > instant) return this.createReport(0, 0)
    return this.createReport(snapshot.inFlight, snapshot.queued)
  }

  private recordLoad (): void {
    if (this.plan.reportLagMs > 0) this.loadHistory.push(this.createReport(this.running, this.queue.length))
  }

  private isPastDeadline (job: Job): boolean {
    return this.events.now() >= job.deadlineAt
  }

  private refuseConnection (job: Job): void {
    job.state = 'finished'
    job.respond({ kind: 'notRun' })
  }

  private refuse (job: Job): void {
    job.state = 'finished'
    job.respond({ kind: 'notRun', report: this.report() })
  }

  /** Counts as a run, because the caller cannot tell how far the request got. */
  private failImmediately (job: Job): void {
    this.onRun(job.call)
    job.state = 'finished'
    this.events.schedule(this.events.now() + FAST_FAILURE_MS, () => {
      job.respond({ kind: 'answered', serverError: true, report: this.report() })
    })
  }

  private start (job: Job): void {
    this.onRun(job.call)
    job.state = 'running'
    this.running += 1
    this.runningJobs.add(job)
    this.recordLoad()
    const now = this.events.now()
    if (job.call.crashesUpstream) this.events.schedule(now + CRASH_AFTER_MS, () => this.crash(job))
    else this.events.schedule(now + job.workMs * slowdownAt(this.plan, now), () => this.finish(job))
  }

  private finish (job: Job): void {
    if (job.state !== 'running') return
    this.releaseSlot(job)
    this.startNext()
    job.respond({ kind: 'answered', report: this.report() })
  }

  private releaseSlot (job: Job): void {
    job.state = 'finished'
    this.running -= 1
    this.runningJobs.delete(job)
    this.recordLoad()
  }

  private startNext (): void {
    while (this.running < this.plan.slots) {
      const next = this.queue.shift()
      if (next === undefined) return
      if (this.isPastDeadline(next)) this.refuse(next)
      else this.start(next)
    }
  }

  private crash (crashingJob: Job): void {
    if (crashingJob.state !== 'running') return
    const lostJobs = [...this.runningJobs, ...this.queue]
    this.runningJobs.clear()
    this.queue = []
    this.running = 0
    this.downUntil = this.events.now() + RESTART_MS
    this.onCrash()
    for (const job of lostJobs) {
      job.state = 'finished'
      job.respond({ kind: 'crashed' })
    }
  }
}
