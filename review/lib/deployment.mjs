// A small deployment on loopback: the project's daemons, started with the command of the deploy file, and stand-ins.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as httpRequest, Agent } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Backend, sleep } from './backend.mjs'
import { Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const HOST = '127.0.0.1'
/** The platform starts a process again that has ended. */
const RESTART_MS = 1000
const ZONES = ['nyeri', 'muranga', 'kiambu']

export const WITH_TROUBLE = process.env.TROUBLE !== '0'

/** The result could not be obtained. */
class CannotRun extends Error {}

/** Deployments that have not been stopped. */
const started = new Set()

export class Deployment {
  daemons = []
  backends = []

  static async start ({ daemons = 3, services, routes, settings = {}, tenants, restarts = false }) {
    const deployment = new Deployment()
    started.add(deployment)
    deployment.restarts = restarts
    deployment.directory = mkdtempSync(join(tmpdir(), 'cowsliplead-review-'))
    deployment.settings = settings
    deployment.store = await Store.start()
    deployment.publish({ version: 12, routes, services, tenants })
    for (const { name, backends, ...options } of services) {
      for (let index = 0; index < backends; index++) {
        deployment.backends.push(await new Backend({ store: deployment.store, service: name, zone: ZONES[index % ZONES.length], ...options }).start())
      }
    }
    for (let index = 0; index < daemons; index++) deployment.daemons.push(await deployment.startDaemon(index))
    await Promise.all(deployment.daemons.map(daemon => deployment.waitUntilReady(daemon)))
    return deployment
  }

  /** Writes a configuration as the operator; the return is the ack. */
  publish ({ version, routes, services, tenants }) {
    this.store.put('keyed.op', 'config', {
      version: version.toString(16).padStart(8, '0'),
      routes: Object.fromEntries(routes.map(({ name, ...route }) => [name, { maxAttempts: 2, priority: 1, ...route }])),
      services: Object.fromEntries(services.map(({ name }) => [name, { healthPath: '/health', maxConns: 240, protocol: 'h1', tls: false }])),
      ...tenants === undefined ? {} : { tenants },
      limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutS: 3, idleTimeoutS: 15 }
    })
  }

  /** Starts a daemon; with `restarts`, one that ends by itself is started again after a short delay, as the platform does. */
  async startDaemon (index) {
    const [publicAddress, readinessAddress, adminAddress, feedAddress, peerAddress] = await freeAddresses(5)
    const file = join(this.directory, `edge-${index}.json`)
    writeFileSync(file, JSON.stringify({
      vmId: `edge-${ZONES[index % ZONES.length]}-${index + 1}`,
      failureDomain: ZONES[index % ZONES.length],
      publicAddress, readinessAddress, adminAddress, feedAddress, peerAddress,
      storeAddress: this.store.address,
      graceS: 6,
      probesPerUpstreamSecond: 60,
      retryBudget: { share: 0.2, calls: 60 },
      ...this.settings
    }))
    const daemon = { publicAddress, readinessAddress, adminAddress, file, ends: 0 }
    this.launch(daemon)
    return daemon
  }

  launch (daemon) {
    const [program, ...args] = runCommand()
    const child = spawn(program, args, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: this.directory, COWSLIPLEAD_CONFIG: daemon.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    Object.assign(daemon, { child, exit: undefined })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => this.onOutput?.(String(chunk), daemon))
    child.on('exit', (code, signal) => {
      daemon.exit = { code, signal }
      daemon.ends++
      this.onExit?.(daemon)
      if (this.restarts && !this.isStopping) setTimeout(() => this.isStopping || this.launch(daemon), RESTART_MS)
    })
  }

  async waitUntilReady ({ readinessAddress }) {
    const until = Date.now() + 20_000
    while (Date.now() < until) {
      const status = await fetch(`http://${readinessAddress}/-/readiness`).then(async response => {
        await response.arrayBuffer()
        return response.status
      }).catch(() => 0)
      if (status === 200) return
      await sleep(50)
    }
    throw new CannotRun('a daemon is not ready')
  }

  async stop () {
    if (!started.delete(this)) return
    this.isStopping = true
    for (const backend of this.backends) backend.stop()
    for (const { child, exit } of this.daemons) if (exit === undefined) child.kill('SIGKILL')
    for (const daemon of this.daemons) while (daemon.exit === undefined) await sleep(20)
    this.store?.close()
    rmSync(this.directory, { recursive: true, force: true })
  }
}

/** The program and arguments of the deploy file's `run` line. */
function runCommand () {
  const run = /^run = "([^"]+)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))?.[1]
  if (run === undefined) throw new CannotRun('the deploy file has no run line')
  return run.split(' ')
}

async function freeAddresses (count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise(resolve => {
    const server = createServer().listen(0, HOST, () => resolve(server))
  })))
  const addresses = servers.map(server => `${HOST}:${server.address().port}`)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return addresses
}

let requestCount = 0
const RUN_ID = Math.floor(Math.random() * 0xffffffff).toString(16).padStart(8, '0')

/** A fresh attempt id. */
export function nextId () {
  return `${RUN_ID}${(++requestCount).toString(16).padStart(8, '0')}`
}

export const keptConnections = () => new Agent({ keepAlive: true, maxSockets: 50 })

/**
 * Sends a request as a requester does, with Node's ordinary HTTP client, and waits until its time limit. Resolves to the status,
 * the headers, the body and whether the client takes the body for complete; `status` is 0 if there was no answer.
 */
export function send (address, { method = 'GET', host, path, id = nextId(), body, timeLimitMs, agent, headers = {} }) {
  const [hostname, port] = address.split(':')
  const startedAt = Date.now()
  return new Promise(resolve => {
    const chunks = []
    let response
    const finish = end => {
      clearTimeout(timer)
      resolve({ id, end, status: response?.statusCode ?? 0, headers: response?.headers ?? {}, body: Buffer.concat(chunks), isComplete: end === 'complete', isReused: request.reusedSocket, tookMs: Date.now() - startedAt })
    }
    const request = httpRequest({
      hostname, port, method, path, agent: agent ?? false,
      headers: { host, 'x-cowsliplead-attempt-id': id, 'x-cowsliplead-deadline-ms': String(timeLimitMs), ...body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }, ...headers }
    })
    const timer = setTimeout(() => {
      request.destroy()
      finish('timeLimit')
    }, timeLimitMs)
    request.on('response', received => {
      response = received
      received.on('data', chunk => chunks.push(chunk))
      received.on('end', () => finish(received.complete ? 'complete' : 'brokenOff'))
      received.on('error', () => finish('brokenOff'))
      received.on('close', () => finish('brokenOff'))
    })
    request.on('error', error => finish(error.code ?? 'error'))
    request.end(body)
  })
}

/** Runs a case: `run(record)` resolves to true if the rule held. Exits with 0, 1 or 2. */
export async function runCase (caseUrl, run) {
  const lines = []
  const startedAt = Date.now()
  const record = text => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`)
  const file = fileURLToPath(new URL('record.txt', caseUrl))
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => Promise.all([...started].map(deployment => deployment.stop())).finally(() => process.exit(2)))
  let code = 2
  try {
    record(`trouble: ${WITH_TROUBLE ? 'yes' : 'no'}`)
    const held = await run(record)
    code = held ? 0 : 1
    record(held ? 'the rule held' : 'the rule was broken')
  } catch (error) {
    record(`the case could not run: ${error.stack}`)
  }
  for (const deployment of [...started]) await deployment.stop()
  writeFileSync(file, `${lines.join('\n')}\n`)
  console.log(lines.at(-1))
  process.exit(code)
}
