import { ElapsedClock, type Instant } from '@cowsliplead/core/types/elapsedClock.js'
import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { TablePosition } from '../../types/controlStore.js'
import { ConfirmationExchange } from '../feed/confirmationExchange.js'
import type { Logger } from '../operators/logger.js'
import { ConfigurationAge } from './configurationAge.js'

/** Receives the reads of the configuration table. */
export interface ReadConfirmation {
  /** The instant at which a read is sent. */
  now (): Instant
  /** Called when a read that was sent at `at` was applied: the table ended at `position`. */
  onRead (position: TablePosition, at: Instant): void
}

/** What a deployment that limits the age of keys needs: the age of the configuration and its exchange with other VMs. */
export class KeyConfirmation implements ReadConfirmation {
  /** Set once the reader of the configuration exists. */
  position: () => TablePosition | undefined = () => undefined
  readonly age: ConfigurationAge
  readonly exchange: ConfirmationExchange

  private constructor (maxAgeMs: Milliseconds, logger: Logger, private readonly clock: ElapsedClock) {
    this.age = ConfigurationAge.create({ clock, maxAgeMs, logger })
    this.exchange = ConfirmationExchange.create({ clock, age: this.age, position: () => this.position() })
  }

  /** Returns undefined if the age of keys is not limited. */
  static create (maxAgeMs: Milliseconds | undefined, logger: Logger, clock = ElapsedClock.create()): KeyConfirmation | undefined {
    return maxAgeMs === undefined ? undefined : new KeyConfirmation(maxAgeMs, logger, clock)
  }

  /** Greatest possible age of the keys in force; undefined before the first confirmation. */
  get roundedAgeMs (): Milliseconds | undefined {
    const { ageMs } = this.age
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined
  }

  /** Why requests with keys cannot be served yet; empty after the first confirmation, so that a VM stays ready in an outage. */
  missing (): string[] {
    return this.age.confirmation === undefined ? ['the age of the keys is not known'] : []
  }

  now (): Instant {
    return this.clock.now()
  }

  onRead (position: TablePosition, at: Instant): void {
    this.age.confirm({ position, at })
  }
}
