import { ConfigState } from '@cowsliplead/core/core/configuration/configState.js'
import { findSettings } from '@cowsliplead/core/core/configuration/effectiveSettings.js'
import { RequestMatcher } from '@cowsliplead/core/core/routing/requestMatcher.js'
import { FakeClock } from '@cowsliplead/core/types/clock.js'
import type { ConfigDocument } from '@cowsliplead/core/types/configDocument.js'
import { createChange } from '@cowsliplead/core/types/configRecords.js'
import type { Measurement } from '../../types/capacity.js'
import { cpuMicrosOf, heapBytesOf, measureSizes } from './measure.js'

const SERVICES = [10, 30, 100, 300]
const KINDS = 3
const SERVICES_PER_EXCEPTION = 10
/** The state carries at most 500 applied changes; the measured ones carry all of them. */
const CHANGES = 500
const START_AT = 1_000_000
const RETENTION_MS = 3_600_000

/** Configuration state against the number of services. */
export function measureConfig (rounds: number): Measurement[] {
  const measure = (name: string, unit: string, valueAt: (services: number) => number): Measurement =>
    measureSizes(`ConfigState: ${name}`, unit, 'services', SERVICES, valueAt)
  return [
    measure('encoded document', 'bytes', count => encodedBytes(createDocument(count, 0))),
    measure('checkpoint record', 'bytes', checkpointBytes),
    measure('heap with 500 carried changes', 'bytes', count => heapBytesOf(() => fullState(count))),
    measure('time per applied change', 'us', count => timeOfChange(count, rounds)),
    measure('time to derive routes and settings', 'us', count => timeOfDerivation(count, rounds))
  ]
}

/** Services like those of the example files, with one exception for ten services. */
function createDocument (services: number, revision: number): unknown {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`)
  return {
    defaults: { routing: { hedgeQuantile: 0.98, stallMinMs: 50, queueLimitCalls: 1_000 + revision } },
    services: Object.fromEntries(names.map(name => [name, createService(name)])),
    exceptions: names.filter((_, index) => index % SERVICES_PER_EXCEPTION === 0).map(service => ({
      scope: { service },
      settings: { routing: { queueLimitCalls: 200 } },
      reason: 'Six upstreams with four slots each serve no more than 200 waiting calls before their deadlines.'
    }))
  }
}

function createService (name: string): unknown {
  const kinds = Array.from({ length: KINDS }, (_, index) => [`look-up-${index}`, {
    method: 'GET', path: `/permits-${index}/:permit`, weight: 2, idempotent: true, deadlineMs: 250, cancellable: true, hedgeable: true
  }])
  return { hosts: [`${name}.taa-angani.example`], pathPrefix: '/', kinds: Object.fromEntries(kinds) }
}

function encodedBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** Feeds a state with changes that all apply. */
class Publisher {
  readonly clock = FakeClock.create(START_AT)
  readonly state = ConfigState.create(this.clock)

  constructor (private readonly services: number) {}

  /** The record of the next change. */
  nextRecord (): { offset: number, data: string } {
    const base = this.state.revision
    const change = createChange(`change-00000000-0000-${base}`, base, 'ann@taa-angani.example', createDocument(this.services, base))
    return { offset: this.state.nextOffset, data: JSON.stringify(change) }
  }

  publish (count: number): ConfigState {
    for (let index = 0; index < count; index++) this.state.apply(this.nextRecord())
    if (this.state.counters.applied !== this.state.revision) throw new Error('a change was not applied')
    return this.state
  }
}

/** Carried changes with small documents come first; only the newest document counts. */
function fullState (services: number): ConfigState {
  const small = new Publisher(1).publish(CHANGES)
  const last = createChange('last', small.revision, 'ann', createDocument(services, 0))
  small.apply({ offset: small.nextOffset, data: JSON.stringify(last) })
  return small
}

function checkpointBytes (services: number): number {
  const publisher = new Publisher(services)
  const state = publisher.publish(1)
  const snapshot = fullState(services).snapshot()
  const checkpoint = state.dueCheckpoint(RETENTION_MS, 0, 1)
  if (checkpoint === undefined || snapshot === undefined) throw new Error('no checkpoint is due')
  return encodedBytes({ ...checkpoint, ...snapshot })
}

/** Reading of one record: JSON, schema, verdict. Creating the record is not counted. */
function timeOfChange (services: number, rounds: number): number {
  const publisher = new Publisher(services)
  const changes = Math.max(Math.round(6_000 / services), 20)
  const bases = Array.from({ length: rounds * changes + changes }, (_, base) => ({
    offset: base,
    data: JSON.stringify(createChange(`change-${base}`, base, 'ann@taa-angani.example', createDocument(services, base)))
  }))
  let next = 0
  const apply = (): void => publisher.state.apply(bases[next++]!)
  for (let index = 0; index < changes; index++) apply()
  const time = cpuMicrosOf(apply, changes, rounds)
  if (publisher.state.revision !== bases.length) throw new Error('a change was not applied')
  return time
}

/** What a daemon works out from a new document: the routes, and the settings of each service. */
function timeOfDerivation (services: number, rounds: number): number {
  const document = new Publisher(services).publish(1).document as ConfigDocument
  const derive = (): void => {
    RequestMatcher.create(document)
    for (const service of Object.keys(document.services)) findSettings(document, { service })
  }
  derive()
  return cpuMicrosOf(derive, Math.max(Math.round(6_000 / services), 20), rounds)
}
