import type { ElapsedClock, Instant } from '@cowsliplead/core/types/elapsedClock.js'
import { instantBefore } from '@cowsliplead/core/types/elapsedClock.js'
import type { TablePosition } from '../../types/controlStore.js'
import type { ConfirmationAnswer, ConfirmationRequest } from '../../types/feedMessage.js'
import { includes } from '../../utils/tablePosition.js'
import type { ConfigurationAge } from '../customers/configurationAge.js'

/** Requests without an answer that are remembered; an answer to an older one is too old to be of use. */
const MAX_PENDING = 32

/** Options of the exchange. */
export interface ConfirmationExchangeOptions {
  readonly clock: ElapsedClock
  readonly age: ConfigurationAge
  /** Position up to which this VM has applied the configuration table. */
  readonly position: () => TablePosition | undefined
}

/**
 * Exchanges the age of the configuration with other VMs. An answer may lie in a socket while this VM is suspended, so its age
 * counts from the instant at which this VM sent the request; a chain of VMs adds up.
 */
export class ConfirmationExchange {
  private nextId = 1
  private readonly sentAt = new Map<number, Instant>()

  private constructor (private readonly options: ConfirmationExchangeOptions) {}

  static create (options: ConfirmationExchangeOptions): ConfirmationExchange {
    return new ConfirmationExchange(options)
  }

  /** Age of this VM's configuration; keys become and cease to be confirmed in the log here even without requests. */
  get age (): ConfigurationAge {
    return this.options.age
  }

  /** A request to a followed VM, to be sent at once. */
  request (): ConfirmationRequest {
    const id = this.nextId++
    this.sentAt.set(id, this.options.clock.now())
    this.sentAt.delete(id - MAX_PENDING)
    return { kind: 'confirm', id, ...this.version() }
  }

  /** Answers the request of a follower. */
  answer ({ id, version, inForceMs }: ConfirmationRequest): ConfirmationAnswer {
    const { clock, age } = this.options
    if (version !== undefined && inForceMs !== undefined) age.onOtherVersion(version, inForceMs, clock.now())
    const { confirmation, ageMs } = age
    if (confirmation === undefined) return { kind: 'confirmed', id, ...this.version() }
    const { epoch, offset } = confirmation.position
    return { kind: 'confirmed', id, ...this.version(), position: { epoch, end: offset, ageMs } }
  }

  /** Called with the answer of a followed VM. */
  receive ({ id, version, inForceMs, position }: ConfirmationAnswer): void {
    const { age, position: positionOf } = this.options
    const sentAt = this.sentAt.get(id)
    if (sentAt === undefined) return
    this.sentAt.delete(id)
    if (version !== undefined && inForceMs !== undefined) age.onOtherVersion(version, inForceMs, sentAt)
    const reached = positionOf()
    if (position === undefined || reached === undefined) return
    const confirmed = { epoch: position.epoch, offset: position.end }
    if (includes(reached, confirmed)) age.confirm({ position: confirmed, at: instantBefore(sentAt, position.ageMs) })
  }

  private version (): { version?: number, inForceMs?: number } {
    const { clock, age: { inForce } } = this.options
    return inForce === undefined ? {} : { version: inForce.version, inForceMs: clock.since(inForce.since) }
  }
}
