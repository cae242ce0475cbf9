import { expect } from 'chai'
import { CustomerDirectory } from '../src/core/customers/customerDirectory.js'
import { RouteKinds } from '../src/core/routing/routeKinds.js'
import { keyDigestOf, type Customer } from '../src/types/customer.js'
import type { Route, RouteConfig } from '../src/types/routes.js'

const ROUTE: Route = { name: 'lookup', host: 'a', pathPrefix: '/', kind: 'safe', timeoutMs: 100, targetMs: 50, priority: 3, maxAttempts: 2, shares: [] }

function configOf (customers: readonly Customer[] | undefined, sharedKeyDigests: readonly string[] = []): RouteConfig {
  return {
    version: 1, routes: [], services: new Map(), limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    customers: customers && new Map(customers.map(customer => [customer.name, customer])), sharedKeyDigests
  }
}

describe('CustomerDirectory', () => {
  // Guards against a key that is accepted for another customer, and against a refusal as unknown of one that is only unusable.
  it('finds the customer of each key', () => {
    const one: Customer = { name: 'one', keyDigests: [keyDigestOf('k1'), keyDigestOf('k2')] }
    const broken: Customer = { name: 'broken', keyDigests: [keyDigestOf('k3')], problem: 'ratePerS' }
    const directory = CustomerDirectory.create(configOf([one, broken], [keyDigestOf('k4')]))
    const found = ['k1', 'k2', 'k3', 'k4', 'k5', '', keyDigestOf('k1'), '__proto__'].map(key => directory?.find(key))
    expect(found).to.deep.equal([one, one, 'unusable', 'unusable', undefined, undefined, undefined, undefined])
  })

  // Guards against keys that are required, or accepted, where the configuration does not say so.
  it('distinguishes a configuration without customers from one whose customers have no keys', () => {
    expect(CustomerDirectory.create(configOf(undefined))).to.equal(undefined)
    expect(CustomerDirectory.create(configOf([]))?.find('k1')).to.equal(undefined)
    expect(CustomerDirectory.create(configOf([]))).not.to.equal(undefined)
  })
})

describe('RouteKinds', () => {
  // Guards against a customer's priority that is ignored, and against queues that never end because kinds are not reused.
  it('has one kind for each route and priority', () => {
    const kinds = RouteKinds.create()
    expect(kinds.kindOf(ROUTE)).to.include({ name: 'lookup', priority: 3 })
    expect(kinds.kindOf(ROUTE, 0)).to.include({ name: 'lookup', priority: 0, weight: 1 })
    expect(kinds.kindOf(ROUTE, 3)).to.equal(kinds.kindOf(ROUTE))
    expect(kinds.kindOf(ROUTE, 0)).to.equal(kinds.kindOf(ROUTE, 0))
  })
})
