import { SystemClock } from '@cowsliplead/core/types/clock.js'
import type { PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import { raise } from '@cowsliplead/core/utils/raise.js'
import { PolicyPublisher } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { FleetOptions } from '../types/options.js'
import type { CommandContext } from '../types/commandContext.js'
import { resolveStore } from './addresses.js'

/** Calls `use` with a publisher for the control store that the options name, and closes the store afterwards. */
export async function withPublisher<Value> (options: FleetOptions, { openStore }: CommandContext, use: (publisher: PolicyPublisher) => Promise<Value>): Promise<Value> {
  const store = openStore(resolveStore(options))
  try {
    return await use(PolicyPublisher.create({ store, clock: SystemClock.create(), timeoutMs: options.timeoutMs }))
  } finally {
    store.close()
  }
}

/** Reads the newest policy record; undefined before the first change. Raises `storeUnavailable`. */
export async function fetchNewestRecord (publisher: PolicyPublisher): Promise<PolicyRecord | undefined> {
  const newest = await publisher.readNewest()
  if (newest.isErr) raise('storeUnavailable', `reading the policy failed: ${newest.error}`)
  return newest.value.record
}
