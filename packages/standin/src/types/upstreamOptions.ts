import { z } from 'zod'

const FACTOR = z.number().positive()
const COUNT = z.int().min(0)
const DURATION_MS = z.number().min(0)

/** Distribution of the time that a request occupies its slot, at speed 1. */
export const SERVICE_TIME = z.strictObject({
  distribution: z.enum(['constant', 'exponential', 'lognormal']).default('constant'),
  meanMs: DURATION_MS.default(5),
  /** Standard deviation of the logarithm; only for `lognormal`. */
  sigma: z.number().min(0).default(0.5)
})

/** Selects the requests that crash the upstream: those with the header, and those whose path starts with `path`. */
export const CRASH_TRIGGER = z.strictObject({
  header: z.string().toLowerCase().default('x-crash'),
  path: z.string().optional(),
  /** Whether the process exits, in addition to destroying the connection. */
  exits: z.boolean().default(false)
})

/** Options of one upstream stand-in. */
export const UPSTREAM_OPTIONS = z.strictObject({
  id: z.string().default('upstream'),
  host: z.string().default('127.0.0.1'),
  /** 0 selects a free port. */
  port: z.int().min(0).max(65535).default(0),
  seed: z.int().default(1),
  slots: z.int().min(1).default(4),
  /** Maximum number of requests that wait for a slot; further requests are shed. */
  queueLimit: COUNT.default(100),
  maxConnections: z.int().min(1).default(250),
  /** Delay added to the first request of each connection, to simulate the cost of opening it. */
  openConnectionMs: DURATION_MS.default(0),
  serviceTime: SERVICE_TIME.prefault({}),
  /** Divides service times. */
  speed: FACTOR.default(1),
  /** For `durationMs` after the start, service times are multiplied by `factor`. */
  coldStart: z.strictObject({ durationMs: DURATION_MS, factor: FACTOR }).default({ durationMs: 0, factor: 1 }),
  crash: CRASH_TRIGGER.prefault({})
})

/** Faults and states that can be changed while the upstream runs; a PUT replaces only the fields that it contains. */
export const UPSTREAM_FAULTS = z.strictObject({
  speed: FACTOR.optional(),
  /** Reports `draining`, and still runs requests. */
  draining: z.boolean().default(false),
  /** Whether the upstream keeps itself registered. */
  registered: z.boolean().default(true),
  /** Requests per second that the upstream asks all VMs together not to exceed. */
  requestsPerSecond: z.number().min(0).optional(),
  /** Refuses every request before it runs. */
  shedding: z.boolean().default(false),
  /** Share of requests answered at once with status 500, without running. */
  failFastShare: z.number().min(0).max(1).default(0),
  /** Number of upcoming responses that carry a wrong request id, in the header and in a JSON body. */
  crossedResponses: COUNT.default(0),
  /** Number of upcoming responses whose connection is destroyed after half of the body. */
  truncatedResponses: COUNT.default(0),
  /** Age of the load that load reports describe. */
  reportDelayMs: DURATION_MS.default(0),
  /** Replaces fields of all load reports, to simulate false reports. */
  reportOverride: z.strictObject({
    inFlight: COUNT.optional(),
    queued: COUNT.optional(),
    slots: COUNT.optional(),
    draining: z.boolean().optional()
  }).default({}),
  /** Whether responses carry a load report. */
  reports: z.boolean().default(true)
})

export type ServiceTime = z.infer<typeof SERVICE_TIME>
export type UpstreamOptions = z.infer<typeof UPSTREAM_OPTIONS>
export type UpstreamOptionsInput = z.input<typeof UPSTREAM_OPTIONS>
export type UpstreamFaults = z.infer<typeof UPSTREAM_FAULTS>
