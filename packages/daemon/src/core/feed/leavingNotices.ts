import { LeavingUpstreams } from '@cowsliplead/core/core/health/leavingUpstreams.js'
import type { Clock, Milliseconds } from '@cowsliplead/core/types/clock.js'
import { MAX_LEAVING_NOTICES, type LeavingNotice } from '../../types/feedMessage.js'
import type { Logger } from '../operators/logger.js'

/** How long a notice is sent: longer than a follower needs to turn to another VM when the one that it follows is lost. */
const SENT_FOR_MS: Milliseconds = 5000

/** Options of the notices. */
export interface LeavingNoticesOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Called with a notice of another VM that was not known before. */
  readonly onNotice: (notice: LeavingNotice) => void
}

/** Upstreams that have said that they are leaving, exchanged with the positions of the feed. */
export class LeavingNotices {
  private readonly known = LeavingUpstreams.create()
  /** In order of time. */
  private newest: Array<LeavingNotice & { readonly since: Milliseconds }> = []
  private publish: () => void = () => {}

  private constructor (private readonly options: LeavingNoticesOptions) {}

  static create (options: LeavingNoticesOptions): LeavingNotices {
    return new LeavingNotices(options)
  }

  /** Sets what is called when there is a notice to send. */
  setPublisher (publish: () => void): void {
    this.publish = publish
  }

  /** Adds an upstream that has told this VM. One that does not state when it started cannot be told from its successor. */
  add (upstreamId: string, incarnation: number | undefined): void {
    if (incarnation !== undefined && incarnation > 0) this.put({ upstreamId, incarnation })
  }

  /** Handles the notices of another VM. */
  receive (vmId: string, notices: readonly LeavingNotice[]): void {
    for (const notice of notices) {
      if (!this.put(notice)) continue
      this.options.logger.info('another VM says that an upstream is leaving', { source: vmId, upstream: notice.upstreamId, incarnation: notice.incarnation })
      this.options.onNotice(notice)
    }
  }

  /** The notices to send. */
  recent (): LeavingNotice[] {
    const oldest = this.options.clock.now() - SENT_FOR_MS
    this.newest = this.newest.filter(({ since }) => since >= oldest).slice(-MAX_LEAVING_NOTICES)
    return this.newest.map(({ upstreamId, incarnation }) => ({ upstreamId, incarnation }))
  }

  private put (notice: LeavingNotice): boolean {
    if (!this.known.add(notice.upstreamId, notice.incarnation)) return false
    this.newest.push({ ...notice, since: this.options.clock.now() })
    this.publish()
    return true
  }
}
