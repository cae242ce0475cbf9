import { z } from 'zod'

const hostAndPort = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/, 'expected an IP address and a port, for example 10.0.0.1:8080')
const milliseconds = z.number().nonnegative()

/** Limits that an operator may set for one VM. */
export const LIMITS_SCHEMA = z.strictObject({
  /** Time for which a stopping daemon keeps accepting, so that the balancer can notice. */
  balancerNoticeMs: milliseconds.default(3000),
  /** Longest wait for calls in flight at shutdown. */
  drainTimeoutMs: milliseconds.default(15 * 60_000),
  /** Longest time to establish a connection to an upstream. */
  connectTimeoutMs: milliseconds.default(1000),
  /** Longest time to receive a held request body, and longest pause of a caller within a streamed one. */
  requestBodyTimeoutMs: milliseconds.default(30_000),
  /** Time allowed for one exchange with the platform. */
  platformTimeoutMs: milliseconds.default(2000),
  /** Time between two reads of the VM list. */
  vmListIntervalMs: milliseconds.default(1000),
  /** Longest wait for the verdict of a published change. */
  publishTimeoutMs: milliseconds.default(8000),
  /** How long the log retains records; checkpoints and holds are written at a quarter of it. */
  logRetentionMs: milliseconds.default(60 * 60_000)
})

/** The settings file of one daemon. */
export const SETTINGS_SCHEMA = z.strictObject({
  vmId: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Where callers connect. */
  publicAddress: hostAndPort,
  /** Where peers, operators and the metrics collector connect. */
  privateAddress: hostAndPort,
  platformUrl: z.url({ protocol: /^http$/ }),
  /** Shared by the daemons and the operators' client. */
  sharedKey: z.string().min(16),
  limits: LIMITS_SCHEMA.prefault({})
})

/** Limits of one daemon. */
export type Limits = z.infer<typeof LIMITS_SCHEMA>

/** Settings of one daemon. */
export type Settings = z.infer<typeof SETTINGS_SCHEMA>
