import { setTimeout } from 'node:timers/promises'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'

/** Waits for `duration`, or until `signal` is aborted. */
export async function sleep (duration: Milliseconds, signal?: AbortSignal): Promise<void> {
  await setTimeout(duration, undefined, { signal }).catch(() => {})
}
