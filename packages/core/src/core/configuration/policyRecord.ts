import { z } from 'zod'

/** Applied changes that a record carries, to recognise repeated ids and to name winners. */
const MAX_CARRIED_CHANGES = 100

const appliedChangeSchema = z.object({ revision: z.number().int().positive(), id: z.string(), author: z.string() })

/** The policy document in force as it stands in the control store. */
export const policyRecordSchema = z.object({
  /** Number of changes applied so far. */
  revision: z.number().int().positive(),
  document: z.unknown(),
  /** The newest applied changes, oldest first; the last one made this record. */
  changes: z.array(appliedChangeSchema).min(1)
})

/** The policy document in force as it stands in the control store. */
export type PolicyRecord = z.infer<typeof policyRecordSchema>
/** A change that was applied. */
export type AppliedChange = z.infer<typeof appliedChangeSchema>

/** A change that an operator proposes. */
export interface PolicyChange {
  /** Tells a repeat of the same change from another one. */
  readonly id: string
  /** Revision that the change was made on. */
  readonly base: number
  readonly author: string
  readonly document: unknown
}

/** What became of a proposed change. */
export type ChangeVerdict =
  | { readonly kind: 'applied', readonly revision: number }
  | { readonly kind: 'conflict', readonly winner: AppliedChange | undefined, readonly revision: number }

/** What to do about a proposed change: replace the record, or nothing because the verdict is known. */
export type ChangeStep =
  | { readonly kind: 'replace', readonly record: PolicyRecord }
  | ChangeVerdict

/** Judges a change against the newest record. Whoever replaces it first wins; a repeat of an applied change is harmless. */
export function judgeChange (newest: PolicyRecord | undefined, change: PolicyChange): ChangeStep {
  const applied = newest?.changes.find(({ id }) => id === change.id)
  if (applied !== undefined) return { kind: 'applied', revision: applied.revision }
  const revision = newest?.revision ?? 0
  if (change.base !== revision) return { kind: 'conflict', winner: winnerOver(change, newest), revision }
  return { kind: 'replace', record: createRecord(newest, change) }
}

function winnerOver ({ base }: PolicyChange, newest: PolicyRecord | undefined): AppliedChange | undefined {
  return newest?.changes.find(({ revision }) => revision === base + 1) ?? newest?.changes.at(-1)
}

function createRecord (newest: PolicyRecord | undefined, { id, author, document }: PolicyChange): PolicyRecord {
  const revision = (newest?.revision ?? 0) + 1
  const changes = [...newest?.changes ?? [], { revision, id, author }].slice(-MAX_CARRIED_CHANGES)
  return { revision, document, changes }
}
