import { z } from 'zod'

const TABLE = z.enum(['configuration', 'upstreams', 'fleet'])

/** Daemons of earlier versions send no epoch. */
const EPOCH = z.number().int().nonnegative().default(0)

const POSITION = z.object({
  epoch: EPOCH,
  /** Offset of the next change. */
  end: z.number().int().nonnegative(),
  /** Time since the store last answered a read of the table, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Time before that in which the store answered reads without interruption; not sent by daemons of earlier versions. */
  readForMs: z.number().nonnegative().optional()
})

const REQUEST_ID = z.number().int().nonnegative()

/** The version of the configuration that the sender has in force, and for how long; absent before the first. */
const VERSION = { version: z.number().int().nonnegative().optional(), inForceMs: z.number().nonnegative().optional() }

/** Values are in base64; a key without a value is removed. */
const RECORDS = z.array(z.object({ key: z.string(), value: z.string().optional() }))

/** Most notices of leaving upstreams in one message. */
export const MAX_LEAVING_NOTICES = 50

const LEAVING_NOTICE = z.object({
  upstreamId: z.string().max(200),
  /** Start of the upstream's process in milliseconds since the epoch. */
  incarnation: z.number().int().positive()
})

/** An upstream that has said that it is leaving. */
export type LeavingNotice = z.infer<typeof LEAVING_NOTICE>

/** Message of a VM to its followers. */
export const FEED_MESSAGE = z.discriminatedUnion('kind', [
  /** Consecutive changes of one table. */
  z.object({
    kind: z.literal('changes'),
    table: TABLE,
    epoch: EPOCH,
    /** Offset of the first change. */
    from: z.number().int().nonnegative(),
    records: RECORDS
  }),
  /** How far each table was read. Sent after each read and as a heartbeat. */
  z.object({
    kind: z.literal('positions'),
    tables: z.partialRecord(TABLE, POSITION),
    /** Upstreams that have lately said that they are leaving; daemons of earlier versions ignore it. */
    leaving: z.array(LEAVING_NOTICE).max(MAX_LEAVING_NOTICES).optional()
  }),
  /** Copy of a table that was complete up to a position; answers a request. */
  z.object({
    kind: z.literal('copy'),
    table: TABLE,
    position: POSITION,
    records: RECORDS,
    /** Records that are in force although the store lacks them; unknown to daemons of earlier versions, which ignore it. */
    held: z.object({ records: RECORDS, leftMs: z.number().nonnegative() }).optional()
  }),
  /** The requested copy is not sent: the follower has to read the table from the store. */
  z.object({ kind: z.literal('declined'), table: TABLE }),
  /** Answers `confirm`; without a position, the VM knows nothing. */
  z.object({ kind: z.literal('confirmed'), id: REQUEST_ID, ...VERSION, position: POSITION.optional() })
])

/** Message of a VM to its followers. */
export type FeedMessage = z.infer<typeof FEED_MESSAGE>

/** Message of a follower to a VM that it follows. */
export const FEED_REQUEST = z.discriminatedUnion('kind', [
  /** The tables of which it needs a copy. */
  z.object({ kind: z.literal('copies'), tables: z.array(TABLE).max(TABLE.options.length) }),
  /** Asks for the age of the configuration. Sent only where the settings limit it: earlier daemons close the connection. */
  z.object({ kind: z.literal('confirm'), id: REQUEST_ID, ...VERSION })
])

/** Message of a follower to a VM that it follows. */
export type FeedRequest = z.infer<typeof FEED_REQUEST>

/** Request for the age of the configuration. */
export type ConfirmationRequest = Extract<FeedRequest, { kind: 'confirm' }>

/** Answer to a `ConfirmationRequest`. */
export type ConfirmationAnswer = Extract<FeedMessage, { kind: 'confirmed' }>

/** How far a table was read, and how long ago. */
export type FeedPosition = z.infer<typeof POSITION>

/** Records as they are sent. */
export type FeedRecords = z.infer<typeof RECORDS>
