import { z } from 'zod'

/** Status of a daemon, as served to operators. */
export const DAEMON_STATUS = z.object({
  vmId: z.string(),
  failureDomain: z.string(),
  ready: z.boolean(),
  /** Why the daemon is not ready. */
  reasons: z.array(z.string()),
  /** Revision of the policy document in force; 0 before the first one. */
  policyRevision: z.number(),
  /** Version of the routes in force. */
  configVersion: z.number().optional(),
  /** Entries of the routes in force that cannot be used, with the reasons. */
  rejectedEntries: z.array(z.object({ kind: z.string(), name: z.string(), reason: z.string() })).optional(),
  /** Failure domains whose upstreams get no new work, by order of an operator. */
  evacuatedDomains: z.array(z.string()).optional(),
  /** Time since the store last answered a read of the routes, in milliseconds; absent before the first answer. */
  storeAgeMs: z.number().optional(),
  /** Greatest possible age of the keys in force, in milliseconds; absent where it is not limited or nothing is known. */
  keyAgeMs: z.number().optional(),
  callsInFlight: z.number(),
  components: z.array(z.object({ name: z.string(), running: z.boolean(), restarts: z.number(), recentFailures: z.number() }))
})

/** Status of a daemon, as served to operators. */
export type DaemonStatus = z.infer<typeof DAEMON_STATUS>
