import { z } from 'zod'

const TABLE = z.enum(['configuration', 'upstreams', 'fleet'])

const POSITION = z.object({
  /** Offset of the next change. */
  end: z.number().int().nonnegative(),
  /** Time since the store last answered a read of the table, in milliseconds. */
  ageMs: z.number().nonnegative()
})

/** Message of a VM that reads the store to its followers. */
export const FEED_MESSAGE = z.discriminatedUnion('kind', [
  /** Consecutive changes of one table. */
  z.object({
    kind: z.literal('changes'),
    table: TABLE,
    /** Offset of the first change. */
    from: z.number().int().nonnegative(),
    /** Values are in base64; a key without a value is removed. */
    records: z.array(z.object({ key: z.string(), value: z.string().optional() }))
  }),
  /** How far each table was read. Sent after each read and as a heartbeat. */
  z.object({ kind: z.literal('positions'), tables: z.partialRecord(TABLE, POSITION) })
])

/** Message of a VM that reads the store to its followers. */
export type FeedMessage = z.infer<typeof FEED_MESSAGE>

/** How far a table was read, and how long ago. */
export type FeedPosition = z.infer<typeof POSITION>
