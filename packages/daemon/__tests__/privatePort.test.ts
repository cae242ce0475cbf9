import { expect } from 'chai'
import { createPeerClient } from '../src/core/peers/peerClients.js'
import { sleep } from '../src/utils/sleep.js'
import { readSettings } from '../src/core/settingsFile.js'
import { call, createSettings, DOCUMENT, Rig, SHARED_KEY } from './harness.js'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

describe('private port', () => {
  let rig: Rig

  beforeEach(async () => {
    rig = await Rig.create()
  })

  afterEach(() => rig.close())

  const change = (id: string, base: number) => ({ id, base, author: id, document: DOCUMENT })

  // Guards against private calls from whoever reaches the port, and against serving them on the public port.
  it('answers only with the shared key, and nothing private on the public port', async () => {
    const daemon = await rig.start()
    for (const key of ['', 'wrong', `${SHARED_KEY}x`]) {
      const client = createPeerClient(`127.0.0.1:${daemon.ports.private}`, key)
      const error = await client.operator.status.query().catch((error: unknown) => error)
      expect(error).to.have.nested.property('data.resultCode.number', 405)
    }
    for (const path of ['/trpc/operator.status', '/metrics']) {
      const answer = await call(daemon.ports.public, 'GET', path, { headers: { 'x-cowsliplead-key': SHARED_KEY } })
      expect(answer.status).to.equal(404)
    }
  })

  // Guards against an operator who is told that a losing or unread change is in force.
  it('tells applied, conflicting, invalid and unconfirmed changes apart', async () => {
    const daemon = await rig.start(createSettings({}, { publishTimeoutMs: 50 }))
    const { operator } = createPeerClient(`127.0.0.1:${daemon.ports.private}`, SHARED_KEY)
    expect(await operator.publish.mutate(change('second', 1))).to.deep.equal({ kind: 'applied', revision: 2 })
    const conflict = await operator.publish.mutate(change('late', 1))
    expect(conflict).to.deep.equal({ kind: 'conflict', winner: { id: 'second', author: 'second', revision: 2 }, revision: 2 })
    expect(await operator.publish.mutate({ ...change('bad', 2), document: {} })).to.have.property('kind', 'invalid')
    rig.platform.log.losesResponses = true
    expect(await operator.publish.mutate(change('third', 2))).to.deep.equal({ kind: 'applied', revision: 3 })
    rig.platform.log.isDown = true
    const refused = await operator.publish.mutate(change('fourth', 3)).catch((error: unknown) => error)
    expect(refused).to.have.nested.property('data.resultCode.name', 'logUnavailable')
  })

  // Guards against a fleet that can never change its configuration again after it lost unread records.
  it('publishes again after the log expired records that nobody read', async () => {
    const daemon = await rig.start()
    const { operator } = createPeerClient(`127.0.0.1:${daemon.ports.private}`, SHARED_KEY)
    const { log } = rig.platform
    log.isDown = true
    log.records('config').push({ offset: 1, at: 0, data: null })
    log.earliest.set('config', 2)
    log.isDown = false
    for (let i = 0; i < 500 && daemon.status().revision === 1; i++) await sleep(10)
    const { revision } = daemon.status()
    expect(await operator.publish.mutate(change('after', revision))).to.deep.equal({ kind: 'applied', revision: revision + 1 })
  })

  // Guards against reporting a revision as in force on a VM that never said so.
  it('names the VMs that lag or do not answer', async () => {
    const daemon = await rig.start()
    const gone = { role: 'entry', id: 'gone', address: '127.0.0.1', port: 1, privateAddress: '127.0.0.1:1', failureDomain: 'a', region: 'r', state: 'live' } as const
    rig.platform.vmList.vms.push(gone)
    const { operator } = createPeerClient(`127.0.0.1:${daemon.ports.private}`, SHARED_KEY)
    while ((await operator.inForce.query()).vms.length < 2);
    const inForce = await operator.inForce.query()
    expect(inForce.newestRevision).to.equal(1)
    expect(inForce.lagging).to.deep.equal(['gone'])
    expect(inForce.vms.find(vm => vm.vmId === 'vm0')).to.include({ revision: 1 })
    expect(inForce.vms.find(vm => vm.vmId === 'gone')?.revision).to.equal(undefined)
  })

  // Guards against counters that the collector cannot read.
  it('serves the metrics', async () => {
    const daemon = await rig.start()
    await call(daemon.ports.public, 'GET', '/permits/1')
    const { body } = await call(daemon.ports.private, 'GET', '/metrics')
    expect(body).to.include('cowsliplead_config_revision 1')
    expect(body).to.include('cowsliplead_calls_total{service="permits",result="noUpstream"} 1')
  })
})

describe('settings file', () => {
  // Guards against a daemon that starts with a mistyped setting, and errors that do not say where it is.
  it('is refused with the file, the path and what is accepted', () => {
    const directory = mkdtempSync(join(tmpdir(), 'settings-'))
    const file = join(directory, 'vm.json')
    const valid = createSettings()
    const cases: readonly [string, string][] = [
      [JSON.stringify({ ...valid, publicAddress: 'localhost' }), 'publicAddress: expected an IP address and a port'],
      [JSON.stringify({ ...valid, limits: { balancerNotice: 1 } }), 'limits: Unrecognized key'],
      [JSON.stringify({ ...valid, sharedKey: 'short' }), 'sharedKey: Too small'],
      ['{', '402 notJson']
    ]
    try {
      for (const [text, expected] of cases) {
        writeFileSync(file, text)
        expect(() => readSettings(file)).to.throw(expected).with.property('message').that.includes(file)
      }
    } finally {
      rmSync(directory, { recursive: true })
    }
  })
})
