import { z } from 'zod'
import { MAX_TOKENS } from '@cowsliplead/core/core/quotas/leaseAccount.js'

/** Largest size of a message. */
export const MAX_MESSAGE_BYTES = 64 * 1024

/** Largest number of customers for which one message asks. */
export const MAX_CUSTOMERS = 100

const MAX_NAME_LENGTH = 512
const MAX_PAUSE_MS = 600_000

const tokens = z.number().int().nonnegative().max(MAX_TOKENS)

/** What a VM sends to a holder: for how many tokens of which customers it asks. */
export const LEASE_MESSAGE = z.object({
  vmId: z.string().min(1).max(MAX_NAME_LENGTH),
  leases: z.array(z.object({ customer: z.string().max(MAX_NAME_LENGTH), tokens: tokens.min(1) })).min(1).max(MAX_CUSTOMERS)
})

/** A holder's answers, in the order of the message. */
export const LEASE_ANSWERS = z.object({
  answers: z.array(z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('granted'), tokens, nextTokenMs: z.number().nonnegative().transform(value => Math.min(value, MAX_PAUSE_MS)) }),
    z.object({ kind: z.literal('notHolder') })
  ])).max(MAX_CUSTOMERS)
})
