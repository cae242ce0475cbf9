import { CustomerDirectory } from '@cowsliplead/core/core/customers/customerDirectory.js'
import { RouteTable } from '@cowsliplead/core/core/routing/routeTable.js'
import type { Route, RouteConfig } from '@cowsliplead/core/types/routes.js'
import { decodeConfiguration } from '@cowsliplead/platform/decodeConfiguration.js'
import { encodeRoutes, type CustomerPlan } from '@cowsliplead/platform/standin/encodeRoutes.js'
import type { Measurement } from '../../types/capacity.js'
import { measureCpuMicros, measureHeapBytes, measureSizes } from './measure.js'

const CUSTOMER_COUNTS = [74, 500, 1000, 2000]
const KEYS_PER_CUSTOMER = 8
const ROUTE_COUNTS = [10, 100, 1410]
const LOOK_UPS = 20_000
const DECODINGS = 3

/** What a daemon has in memory of a configuration, beside its record. */
interface LoadedConfiguration {
  readonly config: RouteConfig
  readonly routes: RouteTable
  readonly customers: CustomerDirectory | undefined
}

/** Measures memory and processor time of configurations with many customers, and with many routes. */
export function measureCustomers (rounds: number): Measurement[] {
  const withCustomers = (count: number): Buffer => encode(routesOf(10), customersOf(count))
  const withRoutes = (count: number): Buffer => encode(routesOf(count))
  return [
    measureSizes('Customers: record of the configuration', 'bytes', 'customers of 8 keys', CUSTOMER_COUNTS, count => withCustomers(count).length),
    measureSizes('Customers: decoded configuration', 'bytes', 'customers of 8 keys', CUSTOMER_COUNTS, count => heapOf(withCustomers(count))),
    measureSizes('Customers: time to load a configuration', 'us', 'customers of 8 keys', CUSTOMER_COUNTS, count => loadMicros(withCustomers(count), rounds)),
    measureSizes('Customers: look-up of a key', 'us', 'customers of 8 keys', CUSTOMER_COUNTS, count => lookUpMicros(withCustomers(count), rounds)),
    measureSizes('Routes: decoded configuration', 'bytes', 'routes of one host', ROUTE_COUNTS, count => heapOf(withRoutes(count))),
    measureSizes('Routes: time to load a configuration', 'us', 'routes of one host', ROUTE_COUNTS, count => loadMicros(withRoutes(count), rounds)),
    measureSizes('Routes: look-up of the last route', 'us', 'routes of one host', ROUTE_COUNTS, count => matchMicros(withRoutes(count), rounds))
  ]
}

function routesOf (count: number): Route[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `route-${index}`, host: 'a.example', pathPrefix: `/r${index}/`, kind: 'safe', timeoutMs: 1000, targetMs: 300, priority: index % 4, maxAttempts: 2, shares: [{ service: 'permits', weight: 1 }]
  }))
}

function customersOf (count: number): CustomerPlan[] {
  return Array.from({ length: count }, (_, index) => ({ name: `customer-${index}`, keys: keysOf(index), priority: index % 4, requestsPerSecond: 10, burstRequests: 10 }))
}

function keysOf (customer: number): string[] {
  return Array.from({ length: KEYS_PER_CUSTOMER }, (_, index) => `key-${String(customer).padStart(16, '0')}-${String(index).padStart(16, '0')}`)
}

function encode (routes: readonly Route[], customers?: readonly CustomerPlan[]): Buffer {
  const services = new Map([['permits', { name: 'permits', healthPath: '/health', maxConnections: 240 }]])
  const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  return Buffer.from(JSON.stringify(encodeRoutes({ version: 1, routes, services, limits }, customers)))
}

function load (record: Buffer): LoadedConfiguration {
  const config = decodeConfiguration(record).unwrapOrElse(error => {
    throw new Error(error)
  })
  return { config, routes: RouteTable.create(config), customers: CustomerDirectory.create(config) }
}

function heapOf (record: Buffer): number {
  return measureHeapBytes(() => load(record))
}

function loadMicros (record: Buffer, rounds: number): number {
  return measureCpuMicros(() => load(record), DECODINGS, rounds)
}

function lookUpMicros (record: Buffer, rounds: number): number {
  const { customers, config } = load(record)
  const count = config.customers?.size ?? 0
  const keys = Array.from({ length: count }, (_, index) => keysOf(index)[index % KEYS_PER_CUSTOMER] as string)
  let next = 0
  return measureCpuMicros(() => {
    customers?.find(keys[next] as string)
    next = (next + 1) % count
  }, LOOK_UPS, rounds)
}

function matchMicros (record: Buffer, rounds: number): number {
  const { routes, config } = load(record)
  const path = `/r${config.routes.length - 1}/x`
  return measureCpuMicros(() => routes.match('a.example', path), LOOK_UPS, rounds)
}
