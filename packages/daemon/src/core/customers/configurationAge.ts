import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import { BOOT_CLOCK_STEP_MS, instantBefore, type ElapsedClock, type Instant } from '@cowsliplead/core/types/elapsedClock.js'
import type { TablePosition } from '../../types/controlStore.js'
import type { Logger } from '../operators/logger.js'

/** Largest amount by which a measured age can be too short, see `ElapsedClock.since`. */
const CLOCK_ERROR_MS = BOOT_CLOCK_STEP_MS

/** What this VM knows of the configuration table: it held nothing beyond `position` at `at`. */
export interface Confirmation {
  readonly position: TablePosition
  readonly at: Instant
}

/** A version of the configuration, and since when it has been in force. */
export interface VersionInForce {
  readonly version: number
  readonly since: Instant
}

/** Options of the configuration's age. */
export interface ConfigurationAgeOptions {
  readonly clock: ElapsedClock
  /** Keys are accepted while the age is at most this less `CLOCK_ERROR_MS`. */
  readonly maxAgeMs: Milliseconds
  readonly logger: Logger
}

/**
 * How old this VM's configuration can be. The age counts from the instant at which the read was sent that showed that the
 * store had nothing newer. A higher version on another VM proves that this one's is older, whatever the store said: a store
 * that was restored from a copy may have keys again that were withdrawn.
 */
export class ConfigurationAge {
  private newest: Confirmation | undefined
  private own: VersionInForce | undefined
  private superseding: VersionInForce | undefined
  private wasConfirmed = false

  private constructor (private readonly options: ConfigurationAgeOptions) {}

  static create (options: ConfigurationAgeOptions): ConfigurationAge {
    return new ConfigurationAge(options)
  }

  /** The newest confirmation; undefined before the first. */
  get confirmation (): Confirmation | undefined {
    return this.newest
  }

  /** The version in force; undefined before the first. */
  get inForce (): VersionInForce | undefined {
    return this.own
  }

  /** Greatest possible age of the configuration in force; infinite before it was first confirmed. */
  get ageMs (): Milliseconds {
    const { clock } = this.options
    if (this.newest === undefined) return Infinity
    const confirmedMs = clock.since(this.newest.at)
    return this.isSuperseded(this.superseding) ? Math.max(confirmedMs, clock.since(this.superseding.since)) : confirmedMs
  }

  /** Whether keys may be accepted now. Logs when that has changed. */
  isConfirmed (): boolean {
    const { maxAgeMs, logger } = this.options
    const { ageMs } = this
    const isConfirmed = ageMs <= maxAgeMs - CLOCK_ERROR_MS
    if (isConfirmed !== this.wasConfirmed) {
      const fields = { version: this.own?.version, newerVersion: this.superseding?.version, ageMs: Math.round(ageMs), maxAgeMs }
      if (isConfirmed) logger.info('keys are confirmed', fields)
      else logger.warn('keys are not confirmed: requests that need one are refused', fields)
    }
    this.wasConfirmed = isConfirmed
    return isConfirmed
  }

  /** Called when a version has come into force. */
  onConfig (version: number): void {
    this.own = { version, since: this.options.clock.now() }
  }

  /** Called when a read that was sent at `at` has shown that the table ended at `position`, which this VM has reached. */
  confirm (confirmation: Confirmation): void {
    const { clock } = this.options
    if (this.newest === undefined || clock.since(confirmation.at) < clock.since(this.newest.at)) this.newest = confirmation
  }

  /** Called with the version that another VM has in force, and for how long it had it at `at`. */
  onOtherVersion (version: number, inForceMs: Milliseconds, at: Instant): void {
    const other = { version, since: instantBefore(at, inForceMs) }
    if (!this.isSuperseded(other)) return
    const known = this.isSuperseded(this.superseding) ? this.superseding : other
    const { clock } = this.options
    this.superseding = {
      version: Math.max(known.version, version),
      since: clock.since(known.since) > clock.since(other.since) ? known.since : other.since
    }
  }

  private isSuperseded (other: VersionInForce | undefined): other is VersionInForce {
    return other !== undefined && other.version > (this.own?.version ?? 0)
  }
}
