import { ClaimTable } from '../../src/core/keyed/claimTable.js'
import { ConfigState } from '../../src/core/configuration/configState.js'
import { PartitionRecovery } from '../../src/core/keyed/partitionRecovery.js'
import { WitnessTable } from '../../src/core/keyed/witnessTable.js'
import { SHORT_TIMING, type WorldOptions } from './world.js'

/** A deliberately broken version of the code under test. */
export interface Variant {
  readonly name: string
  /** The invariant whose check has to find it. */
  readonly invariant: 'twice' | 'refusal' | 'revision' | 'config' | 'owner'
  readonly faults?: readonly string[]
  readonly options?: Partial<WorldOptions>
  readonly patches?: readonly Patch[]
}

interface Patch {
  readonly prototype: object
  readonly method: string
  readonly replace: (original: Method) => Method
}

type Method = (this: never, ...args: never[]) => unknown

const OWNERS_LOST = ['isolate', 'isolate', 'pause', 'kill']

/** At least one per invariant. */
export const VARIANTS: readonly Variant[] = [
  {
    name: 'a new owner ignores the claims of the earlier one',
    invariant: 'twice',
    patches: [{ prototype: ClaimTable.prototype, method: 'addUnknown', replace: () => () => true }]
  },
  {
    name: 'a witness goes on serving an owner that was replaced',
    invariant: 'twice',
    faults: OWNERS_LOST,
    patches: [{ prototype: WitnessTable.prototype, method: 'findFenced', replace: () => () => [] }]
  },
  {
    name: 'a new owner runs keys at once',
    invariant: 'refusal',
    faults: OWNERS_LOST,
    patches: ['onFenceLogged', 'onCollectAnswer'].map(method => ({
      prototype: PartitionRecovery.prototype,
      method,
      replace: original => function (this: never, ...args: never[]) {
        original.apply(this, args)
        const { context } = this as { context: { owned: Map<number, { readyAt: number }> } }
        for (const owned of context.owned.values()) owned.readyAt = -Infinity
      }
    }))
  },
  {
    name: 'an owner refuses without proof that it still is the owner',
    invariant: 'refusal',
    faults: OWNERS_LOST,
    options: { timing: { ...SHORT_TIMING, proofMs: Infinity } }
  },
  {
    name: 'an owner forgets that it refused a key',
    invariant: 'refusal',
    patches: [{ prototype: ClaimTable.prototype, method: 'refusalOf', replace: () => () => undefined }]
  },
  {
    name: 'a VM takes over any state of a peer',
    invariant: 'revision',
    patches: [{
      prototype: ConfigState.prototype,
      method: 'adoptPeerState',
      replace: () => function (this: never, snapshot: never) {
        const state = this as { upTo: number, adopt (snapshot: unknown): boolean }
        state.upTo = -1
        return snapshot !== undefined && state.adopt(snapshot)
      }
    }]
  },
  {
    name: 'a VM that read a gap applies the later of two racing changes',
    invariant: 'config',
    patches: [{
      prototype: ConfigState.prototype,
      method: 'recordConflict',
      replace: original => function (this: never, change: never) {
        const state = this as { counters: { adoptedFromPeers: number }, recordApplied (change: unknown, document: unknown): void }
        if (state.counters.adoptedFromPeers === 0) original.apply(this, [change])
        else state.recordApplied(change, (change as { document: unknown }).document)
      }
    }]
  },
  { name: 'a VM takes itself for the owner before the log says so', invariant: 'owner', options: { ownsOnAppend: true } }
]

/** Runs `work` with the variant in place of the code. */
export function withVariant (variant: Variant, work: () => void): void {
  const originals = (variant.patches ?? []).map(({ prototype, method, replace }) => {
    const methods = prototype as Record<string, Method>
    const original = methods[method] as Method
    methods[method] = replace(original)
    return () => {
      methods[method] = original
    }
  })
  try {
    work()
  } finally {
    originals.forEach(restore => restore())
  }
}
