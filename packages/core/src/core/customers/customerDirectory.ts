import { keyDigestOf, type Customer } from '../../types/customer.js'
import type { RouteConfig } from '../../types/routes.js'

/** Whom a key belongs to; `unusable` if the configuration has the key but does not say whose it is, or how to serve it. */
export type KeyOwner = Customer | 'unusable'

/** Finds the customer of a key, at the cost of one hash. Built once for each configuration. */
export class CustomerDirectory {
  private readonly owners = new Map<string, KeyOwner>()

  private constructor (customers: Iterable<Customer>, sharedKeyDigests: readonly string[]) {
    for (const customer of customers) {
      const owner = customer.problem === undefined ? customer : 'unusable'
      for (const digest of customer.keyDigests) this.owners.set(digest, owner)
    }
    for (const digest of sharedKeyDigests) this.owners.set(digest, 'unusable')
  }

  /** Returns undefined if the configuration has no customers, and requests need no key. */
  static create ({ customers, sharedKeyDigests = [] }: RouteConfig): CustomerDirectory | undefined {
    return customers && new CustomerDirectory(customers.values(), sharedKeyDigests)
  }

  /** The owner of a key; undefined if no customer has it. */
  find (key: string): KeyOwner | undefined {
    return this.owners.get(keyDigestOf(key))
  }
}
