import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { ResponseSignals } from '@cowsliplead/core/types/upstream.js'
import type { ResponseMetadata } from '../types/dialect.js'

/** The pause that an upstream asks for; undefined if it asks for none. */
export function pauseOf ({ retryAfterMs }: ResponseMetadata): Milliseconds | undefined {
  return retryAfterMs !== undefined && retryAfterMs > 0 ? retryAfterMs : undefined
}

/** Passes on what a response says about new work for its upstream, if it says anything and is from that upstream. */
export function notifyOfSignals (metadata: ResponseMetadata, notify: (signals: ResponseSignals) => void): void {
  const retryAfterMs = pauseOf(metadata)
  if (metadata.isFromOtherUpstream || (!metadata.isLeaving && retryAfterMs === undefined)) return
  notify({ isLeaving: metadata.isLeaving, retryAfterMs })
}
