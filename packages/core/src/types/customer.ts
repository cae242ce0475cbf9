import { hash } from 'node:crypto'

/** A customer, whose requests are identified by keys. */
export interface Customer {
  readonly name: string
  /** 0 is served first under overload; takes precedence over the priority of the route. Undefined: the route's applies. */
  readonly priority?: number | undefined
  /** Digests of the customer's keys, see `keyDigestOf`. */
  readonly keyDigests: readonly string[]
  /** Requests per second over all VMs together; undefined without a limit. */
  readonly requestsPerSecond?: number | undefined
  /** Requests that may exceed the rate once they were saved up; 0 if undefined. */
  readonly burstRequests?: number | undefined
  /** Why the customer's entry cannot be used; its requests are refused as not run. */
  readonly problem?: string | undefined
}

/** Digest of a key (SHA-256, base64url). Keys are kept as digests only, so that no dump or log can contain them. */
export function keyDigestOf (key: string): string {
  return hash('sha256', key, 'base64url')
}
