import type { RequestListener, ServerResponse } from 'node:http'
import { expect } from 'chai'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { sleep } from '../src/utils/sleep.js'
import { createSettings, Rig, waitUntil } from './harness.js'
import { PipeliningCaller } from './pipeliningCaller.js'

const CALLERS = 6
const ROUNDS = 12
const DEPTH = 4
const BREAK_SHARE = 0.05
const LEAVE_SHARE = 0.2
const MIN_DELIVERED_SHARE = 0.8
const MAX_BODY_BYTES = 200_000
const MAX_WORK_MS = 20

/** The responses that a caller has received, whole and in order. */
interface Reading {
  readonly statuses: readonly number[]
  /** First and last characters of the bodies: the path that was asked for. */
  readonly paths: readonly string[]
  readonly isWhole: boolean
}

/** A body that begins and ends with its path. */
function bodyOf (path: string, bytes: number): string {
  return path + 'x'.repeat(bytes) + path
}

/** Reads the responses; all of them have lengths. */
function read (received: string): Reading {
  const statuses: number[] = []
  const paths: string[] = []
  let rest = received
  for (let end = rest.indexOf('\r\n\r\n'); end >= 0; end = rest.indexOf('\r\n\r\n')) {
    const head = rest.slice(0, end)
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1])
    const body = rest.slice(end + 4, end + 4 + length)
    if (body.length < length) break
    const status = Number(head.slice(9, 12))
    const [path = ''] = /^[^x{]*/.exec(body) ?? []
    statuses.push(status)
    paths.push(status === 200 && body.endsWith(path) ? path : '')
    rest = rest.slice(end + 4 + length)
  }
  return { statuses, paths, isWhole: rest === '' }
}

describe('pipelining callers whose upstreams break off responses', () => {
  for (const seed of [1, 2, 3]) {
    // Guards against lost, swapped or cut responses, and against requests that outlive their caller.
    it(`get all others that were passed on, in order (seed ${seed})`, async () => {
      const random = SeededRandom.create(seed)
      const working = new Set<ServerResponse>()
      const broken = new Set<string>()
      const passedOn = new Set<string>()
      const counts = { delivered: 0, expected: 0 }
      const sound: RequestListener = (request, response) => void work(request.url as string, response, 0)
      const breaking: RequestListener = (request, response) => void work(request.url as string, response, BREAK_SHARE)
      const work = async (path: string, response: ServerResponse, breakShare: number): Promise<void> => {
        working.add(response)
        passedOn.add(path)
        response.once('close', () => working.delete(response))
        const body = bodyOf(path, 1 + Math.floor(random.next() * MAX_BODY_BYTES))
        const breaks = random.next() < breakShare
        await sleep(random.next() * MAX_WORK_MS)
        response.writeHead(200, { 'content-length': body.length })
        if (!breaks) return void response.end(body)
        broken.add(path)
        response.write(body.slice(0, body.length / 2))
        setTimeout(() => response.destroy(), MAX_WORK_MS)
      }
      const rig = await Rig.create(sound, breaking, sound, breaking)
      try {
        const daemon = await rig.start(createSettings())
        const play = async (index: number): Promise<void> => {
          for (let round = 0; round < ROUNDS; round++) {
            const caller = PipeliningCaller.connect(daemon.ports.public)
            const paths = Array.from({ length: DEPTH }, (_, number) => `/permits/${index}/${round}/${number}/`)
            caller.get(...paths.slice(0, DEPTH / 2))
            await sleep(random.next() * 2 * MAX_WORK_MS)
            caller.get(...paths.slice(DEPTH / 2))
            if (random.next() < LEAVE_SHARE) {
              await sleep(random.next() * 2 * MAX_WORK_MS)
            } else {
              await waitUntil(() => caller.isClosed || read(caller.received).statuses.length === DEPTH)
              const reading = read(caller.received)
              const answered = reading.statuses.length
              if (caller.isClosed) {
                expect(broken.has(paths[answered] as string), 'broken off by its upstream').to.equal(true)
                expect(paths.slice(answered + 1).filter(path => passedOn.has(path))).to.deep.equal([])
              } else expect([answered, reading.isWhole]).to.deep.equal([DEPTH, true])
              for (const [number, status] of reading.statuses.entries()) {
                counts.expected++
                if (status === 200) counts.delivered++
                if (status === 200) expect(reading.paths[number]).to.equal(paths[number])
                else expect(status).to.be.oneOf([502, 503])
              }
            }
            caller.leave()
          }
        }
        await Promise.all(Array.from({ length: CALLERS }, (_, index) => play(index)))
        expect(counts.delivered).to.be.at.least(counts.expected * MIN_DELIVERED_SHARE)
        await waitUntil(() => working.size === 0 && daemon.status().callsInFlight === 0)
      } finally {
        await rig.close()
      }
    })
  }
})
