import { SystemClock } from '@cowsliplead/core/types/clock.js'
import type { PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import { raise } from '@cowsliplead/core/utils/raise.js'
import { PolicyPublisher } from '@cowsliplead/daemon/core/control/policyPublisher.js'
import type { FleetOptions } from '../types/options.js'
import type { Surroundings } from '../types/surroundings.js'
import { resolveStore } from './connection.js'

/** Runs `use` with a publisher on the control store that the options name, and closes the store afterwards. */
export async function withPublisher<Value> (options: FleetOptions, { openStore }: Surroundings, use: (publisher: PolicyPublisher) => Promise<Value>): Promise<Value> {
  const store = openStore(resolveStore(options))
  try {
    return await use(PolicyPublisher.create({ store, clock: SystemClock.create(), timeoutMs: options.timeoutMs }))
  } finally {
    store.close()
  }
}

/** The newest record; undefined before the first change. Raises `storeUnavailable`. */
export async function fetchNewest (publisher: PolicyPublisher): Promise<PolicyRecord | undefined> {
  const newest = await publisher.newest()
  if (newest.isErr) raise('storeUnavailable', `reading the policy failed: ${newest.error}`)
  return newest.value.record
}
