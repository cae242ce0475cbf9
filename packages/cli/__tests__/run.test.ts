import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { Result } from 'true-myth/result'
import { RESULT_CODES, type ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { encodePolicyRecord, POLICY_KEY } from '@cowsliplead/daemon/core/control/policyRecordCodec.js'
import { MemoryStore } from '@cowsliplead/daemon/testing/memoryStore.js'
import type { DaemonStatus } from '@cowsliplead/daemon/types/daemonStatus.js'
import { run } from '../src/core/run.js'
import { EXIT_CODES } from '../src/types/exitCode.js'
import { startFakeDaemon, type FakeDaemon } from './fakeDaemon.js'

const CLIENT_PAGE = new URL('../../../../docs/CLIENT.md', import.meta.url)

/** An address where nothing listens. */
const UNREACHABLE = '127.0.0.1:2'

const STORE = '127.0.0.1:8142'

const EXCEPTION = { scope: { service: 'glossary' }, settings: { routing: { queueLimitCalls: 5 } }, reason: 'small VMs' }
const VALID = { defaults: { routing: { hedgeMinMs: 3 } }, exceptions: [EXCEPTION] }

const FILES: Readonly<Record<string, string>> = {
  'valid.json': JSON.stringify(VALID),
  'not.json': '{"defaults": ',
  'unknownKey.json': JSON.stringify({ ...VALID, defalts: {} }),
  'wrongType.json': JSON.stringify({ exceptions: {} }),
  'noReason.json': JSON.stringify({ ...VALID, exceptions: [{ ...EXCEPTION, reason: undefined }] }),
  'emptyReason.json': JSON.stringify({ ...VALID, exceptions: [{ ...EXCEPTION, reason: '  ' }] }),
  'twice.json': JSON.stringify({ ...VALID, exceptions: [EXCEPTION, { ...EXCEPTION, reason: 'again' }] }),
  'badSettings.json': '{"daemons": []}'
}

interface Output { readonly exitCode: number, readonly out: string, readonly err: readonly string[] }

describe('cowsliplead', () => {
  let directory: string
  let store: MemoryStore
  let openedStores: string[]
  let fakeDaemons: FakeDaemon[]

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'cowsliplead-'))
    store = MemoryStore.create()
    openedStores = []
    fakeDaemons = []
    for (const [name, text] of Object.entries(FILES)) writeFileSync(join(directory, name), text)
  })

  afterEach(() => {
    for (const daemon of fakeDaemons) daemon.stop()
    rmSync(directory, { recursive: true })
  })

  async function startDaemon (status: Partial<DaemonStatus> | undefined): Promise<string> {
    const daemon = await startFakeDaemon(status)
    fakeDaemons.push(daemon)
    return daemon.address
  }

  function putRecord (revision: number, document: unknown): void {
    const changes = [{ revision, id: `c${revision}`, author: 'akinyi' }]
    store.records('fleet').push({ key: POLICY_KEY, value: encodePolicyRecord({ revision, document, changes }) })
  }

  /** Runs a command line, in which the names in FILES are replaced by their paths. */
  async function cowsliplead (line: string, ...daemons: string[]): Promise<Output> {
    const args = line.split(' ').map(arg => arg in FILES ? join(directory, arg) : arg)
    const daemonArgs = daemons.length === 0 ? [] : ['--daemons', daemons.join(',')]
    const out: string[] = []
    const err: string[] = []
    const exitCode = await run([...args, ...daemonArgs], {
      terminal: { out: text => out.push(text), err: text => err.push(text) },
      openStore: address => {
        openedStores.push(address)
        return store
      }
    })
    return { exitCode, out: out.join('\n'), err }
  }

  const BAD_INPUTS: readonly (readonly [string, ResultCodeName])[] = [
    ['frobnicate', 'usage'],
    [`publish valid.json --store ${STORE}`, 'usage'],
    ['publish valid.json --author', 'usage'],
    [`publish valid.json --author a --base x --store ${STORE}`, 'usage'],
    [`publish valid.json --author a --base -1 --store ${STORE}`, 'usage'],
    [`publish valid.json --author a --colour red --store ${STORE}`, 'usage'],
    ['publish valid.json --author a', 'usage'],
    ['publish valid.json --author a --store nowhere', 'usage'],
    ['publish valid.json --author a --settings badSettings.json', 'settingsInvalid'],
    ['publish valid.json --author a --settings missing.json', 'fileUnreadable'],
    [`publish missing.json --author a --store ${STORE}`, 'fileUnreadable'],
    [`publish not.json --author a --store ${STORE}`, 'notJson'],
    [`publish unknownKey.json --author a --store ${STORE}`, 'configInvalid'],
    [`publish wrongType.json --author a --store ${STORE}`, 'configInvalid'],
    [`publish noReason.json --author a --store ${STORE}`, 'configInvalid'],
    [`publish emptyReason.json --author a --store ${STORE}`, 'configInvalid'],
    [`publish twice.json --author a --store ${STORE}`, 'configInvalid'],
    [`diff twice.json --store ${STORE}`, 'configInvalid'],
    [`history --limit 0 --store ${STORE}`, 'usage'],
    ['get', 'usage']
  ]

  for (const [line, expected] of BAD_INPUTS) {
    // Guards against invalid input that reaches the store, or whose error is not exactly one line with number and name.
    it(`'${line}' fails with ${expected} and sends nothing`, async () => {
      const { exitCode, out, err } = await cowsliplead(line)
      expect(exitCode).to.equal(2)
      expect(out).to.equal('')
      expect(err).to.have.length(1)
      expect(err[0]).to.match(new RegExp(`^${RESULT_CODES[expected].number} ${expected}: \\S`))
      expect(openedStores).to.deep.equal([])
    })
  }

  // Guards against a `check` that accepts what `publish` refuses, or that needs the store.
  it('checks files offline', async () => {
    expect(await cowsliplead('check valid.json --json'))
      .to.deep.equal({ exitCode: 0, out: '{"valid":true,"defaults":1,"exceptions":1}', err: [] })
    expect((await cowsliplead('check twice.json')).exitCode).to.equal(2)
  })

  interface PublishCase {
    readonly name: string
    readonly prepare?: (store: MemoryStore) => void
    readonly error?: ResultCodeName
  }

  const PUBLISH_CASES: readonly PublishCase[] = [
    { name: 'applied' },
    { name: 'response of the store lost', prepare: fakeStore => void (fakeStore.unansweredWrites = 1) },
    { name: 'store down', prepare: fakeStore => void (fakeStore.failure = 'refused'), error: 'storeUnavailable' },
    {
      name: 'store lost after the write',
      prepare: fakeStore => {
        fakeStore.put = async () => {
          fakeStore.failure = 'unanswered'
          return Result.err('unanswered')
        }
      },
      error: 'publishUnconfirmed'
    }
  ]

  for (const { name, prepare, error } of PUBLISH_CASES) {
    // Guards against reporting 'nothing was changed' for a change that may have been applied,
    // and against an id that is not printed before sending, so that a retry would get a new one.
    it(`publish, ${name}: ${error ?? 'applied'}`, async () => {
      putRecord(7, {})
      prepare?.(store)
      const { out, err } = await cowsliplead(`publish valid.json --author a --base 7 --id c8 --store ${STORE} --timeout-ms 300`)
      expect(err[0]).to.equal('change id c8')
      expect(openedStores).to.deep.equal([STORE])
      if (error === undefined) expect(out).to.equal('change c8 is applied as revision 8')
      else expect(err[1]).to.match(new RegExp(`^${RESULT_CODES[error].number} ${error}: `))
    })
  }

  // Guards against a lost update, and against a conflict that does not say whose change was applied first.
  it('publish on an old revision fails and names the change that was applied', async () => {
    putRecord(8, {})
    const { exitCode, err } = await cowsliplead(`publish valid.json --author a --base 7 --store ${STORE}`)
    expect(exitCode).to.equal(3)
    expect(err[1]).to.match(/^301 configConflict: .*change c8 by akinyi \(revision 8\) came first/)
  })

  // Guards against a base of 0 when none is given, and against generated ids that are not unique.
  it('publishes on the newest revision under a new id', async () => {
    putRecord(7, {})
    const changes: Array<{ id: string, base: number }> = []
    for (let i = 0; i < 2; i++) {
      changes.push(JSON.parse((await cowsliplead(`publish valid.json --author a --json --store ${STORE}`)).out) as { id: string, base: number })
    }
    expect(changes.map(({ base }) => base)).to.deep.equal([7, 8])
    expect(changes[0]?.id).to.not.equal(changes[1]?.id)
  })

  // Guards against an exit code of 0 while a VM lags or does not answer.
  it('get shows each VM and fails if one lags', async () => {
    putRecord(7, {})
    const [newest, older] = [await startDaemon({ policyRevision: 7 }), await startDaemon({ vmId: 'e2', failureDomain: 'b', policyRevision: 6 })]
    const lagging = await cowsliplead(`get --store ${STORE} --timeout-ms 1000`, newest, older, UNREACHABLE)
    expect(lagging.exitCode).to.equal(6)
    expect(lagging.out).to.match(/e1 .* 7 .*\ne2 .* 6 .*lags\n127.0.0.1:2 .*lags: \S/)
    expect(lagging.err[0]).to.match(/^406 vmLagging: .*e2, 127.0.0.1:2/)
    expect((await cowsliplead(`get --store ${STORE}`, newest)).exitCode).to.equal(0)
  })

  // Guards against a diff that reports settings which only the defaults filled in.
  it('diff fills in defaults before it compares with the newest document', async () => {
    putRecord(7, VALID)
    expect((await cowsliplead(`diff valid.json --store ${STORE}`)).exitCode).to.equal(0)
    writeFileSync(join(directory, 'valid.json'), JSON.stringify({ defaults: VALID.defaults }))
    const { exitCode, out } = await cowsliplead(`diff valid.json --store ${STORE}`)
    expect(exitCode).to.equal(1)
    expect(out).to.include('- exceptions.0.reason: "small VMs"')
  })

  it('status shows both daemons that answer and daemons that do not', async () => {
    const address = await startDaemon({ ready: false, reasons: ['no configuration is known'] })
    const { exitCode, out } = await cowsliplead('status --timeout-ms 1000', address, await startDaemon(undefined))
    expect(exitCode).to.equal(0)
    expect(out).to.match(/e1 .*no .*no configuration is known\n.*status 500/)
    expect((await cowsliplead('status --timeout-ms 1000', UNREACHABLE)).exitCode).to.equal(5)
  })

  for (const line of ['get', 'get --document', 'diff valid.json', 'dump', 'history', 'status']) {
    // Guards against other text on standard output, and against commands that ignore the settings file.
    it(`'${line} --json' with a settings file prints one JSON value`, async () => {
      putRecord(7, VALID)
      const settings = { store: STORE, daemons: [await startDaemon({ policyRevision: 7 })] }
      writeFileSync(join(directory, 'client.json'), JSON.stringify(settings))
      const { exitCode, out } = await cowsliplead(`${line} --json --settings ${join(directory, 'client.json')}`)
      expect(exitCode).to.equal(0)
      expect(JSON.parse(out)).to.be.an(line === 'status' || line === 'history' ? 'array' : 'object')
    })
  }

  // Guards against exit codes that are missing from the documentation or the help.
  it('documents its exit codes in docs/CLIENT.md and in the help', async () => {
    const rows = readFileSync(CLIENT_PAGE, 'utf8').split('\n').filter(line => /^\| \d/.test(line))
    expect(rows.slice(0, -1)).to.deep.equal(EXIT_CODES.map(code => `| ${code.number} | ${code.meaning} | ${code.errors.join(', ')} |`))
    const { exitCode, out } = await cowsliplead('--help')
    expect(exitCode).to.equal(0)
    for (const { meaning } of EXIT_CODES) expect(out).to.include(meaning)
  })
})
