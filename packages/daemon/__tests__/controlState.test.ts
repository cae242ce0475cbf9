import { expect } from 'chai'
import winston from 'winston'
import { Result } from 'true-myth/result'
import type { Upstream } from '@cowsliplead/core/types/upstream.js'
import type { UpstreamEntry } from '@cowsliplead/core/types/upstreamEntry.js'
import { ControlState } from '../src/core/gateway/controlState.js'
import type { GatewayServices } from '../src/core/gateway/gatewayServices.js'
import type { ControlStore, StoreResult, TableChanges, TablePage, TableRecord } from '../src/types/controlStore.js'
import { sleep } from '../src/utils/sleep.js'

const RENEWAL_MS = 60

/** Shows nine tenths of the time that passes, so that every timer fires before the clock shows its time. */
const slowClock = { now: () => performance.now() * 0.9 }

const ENTRY: UpstreamEntry = {
  id: 'u1', service: 'permits', address: '10.0.0.1', port: 80, failureDomain: 'a', slots: 4, state: 'live',
  incarnation: 1, sequence: 1, warmupLeftMs: 0
}

/** A store whose upstreams disappear while it cannot be reached. */
class LapsingStore implements ControlStore {
  isDown = false
  records: TableRecord[] = [{ key: ENTRY.id, value: Buffer.from('entry') }]
  private expired = false

  lapse (): void {
    this.records = []
    this.expired = true
  }

  async newest (table: string): Promise<StoreResult<TablePage>> {
    if (this.isDown) return Result.err('unanswered')
    this.expired = false
    return Result.ok({ records: table === 'upstreams' ? this.records : [], nextAfter: undefined, end: 1 })
  }

  async changes (): Promise<StoreResult<TableChanges>> {
    await sleep(5)
    if (this.isDown) return Result.err('unanswered')
    return this.expired ? Result.err('expired') : Result.ok({ records: [], end: 1 })
  }

  async put (): Promise<StoreResult<void>> {
    return Result.err('refused')
  }

  decodeRoutes (): undefined {}

  decodeUpstream (): UpstreamEntry {
    return ENTRY
  }

  close (): void {}
}

describe('upstreams that lapse while the store is away', () => {
  // Guards P5 against a timer that fires before the clock shows its time: the upstream that has left would stay in
  // use until another entry changes.
  it('are removed once they could have renewed their entries, also where nothing else changes', async () => {
    const store = new LapsingStore()
    let upstreams: readonly Upstream[] = []
    const services = { config: undefined, setUpstreams: (listed: readonly Upstream[]) => void (upstreams = listed) }
    const control = ControlState.create({
      store, clock: slowClock, services: services as unknown as GatewayServices, journal: winston.createLogger({ silent: true }),
      renewalMs: RENEWAL_MS, onConfig: () => {}
    })
    control.start()
    while (upstreams.length === 0) await sleep(2)
    store.isDown = true
    await sleep(700)
    store.lapse()
    store.isDown = false
    await sleep(700 + 3 * RENEWAL_MS)
    control.stop()
    expect(upstreams).to.deep.equal([])
  })
})
