import { z } from 'zod'

/** Applied changes kept in a record, to recognise repeated ids and to report which change won a conflict. */
const MAX_RECORDED_CHANGES = 100

const appliedChangeSchema = z.object({ revision: z.number().int().positive(), id: z.string(), author: z.string() })

/** The policy document in force as it stands in the control store. */
export const policyRecordSchema = z.object({
  /** Number of changes applied so far. */
  revision: z.number().int().positive(),
  document: z.unknown(),
  /** The most recent applied changes, oldest first; the last one created this record. */
  changes: z.array(appliedChangeSchema).min(1)
})

/** The policy document in force as it stands in the control store. */
export type PolicyRecord = z.infer<typeof policyRecordSchema>
/** An applied change. */
export type AppliedChange = z.infer<typeof appliedChangeSchema>

/** A change proposed by an operator. */
export interface PolicyChange {
  /** Idempotency key: publishing a change again under the same id applies it only once. */
  readonly id: string
  /** Revision on which the change is based. */
  readonly base: number
  readonly author: string
  readonly document: unknown
}

/** Outcome of a proposed change. */
export type ChangeOutcome =
  | { readonly kind: 'applied', readonly revision: number }
  | { readonly kind: 'conflict', readonly winner: AppliedChange | undefined, readonly revision: number }

/** How to proceed with a proposed change: replace the record, or nothing because the outcome is already known. */
export type ChangeDecision =
  | { readonly kind: 'replace', readonly record: PolicyRecord }
  | ChangeOutcome

/** Evaluates a change against the newest record. The first change on a revision wins; repeated changes are idempotent. */
export function evaluateChange (newest: PolicyRecord | undefined, change: PolicyChange): ChangeDecision {
  const applied = newest?.changes.find(({ id }) => id === change.id)
  if (applied !== undefined) return { kind: 'applied', revision: applied.revision }
  const revision = newest?.revision ?? 0
  if (change.base !== revision) return { kind: 'conflict', winner: findWinner(change, newest), revision }
  return { kind: 'replace', record: createRecord(newest, change) }
}

function findWinner ({ base }: PolicyChange, newest: PolicyRecord | undefined): AppliedChange | undefined {
  return newest?.changes.find(({ revision }) => revision === base + 1) ?? newest?.changes.at(-1)
}

function createRecord (newest: PolicyRecord | undefined, { id, author, document }: PolicyChange): PolicyRecord {
  const revision = (newest?.revision ?? 0) + 1
  const changes = [...newest?.changes ?? [], { revision, id, author }].slice(-MAX_RECORDED_CHANGES)
  return { revision, document, changes }
}
