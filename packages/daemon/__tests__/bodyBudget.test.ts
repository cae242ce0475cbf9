import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { PassThrough } from 'node:stream'
import { expect } from 'chai'
import { readBody } from '../src/core/callers/requestBody.js'
import { BodyBudget } from '../src/core/overload/bodyBudget.js'

const KILOBYTE = 1024

/** An eighth of it, one megabyte, is for bodies. */
const MACHINE = { memoryMb: 8, descriptors: 100 }

describe('the budget of request bodies', () => {
  let budget: BodyBudget
  let evicted: string[]

  beforeEach(() => {
    budget = BodyBudget.create(MACHINE)
    evicted = []
  })

  function receive (name: string, bytes: number): ReturnType<BodyBudget['open']> {
    const charge = budget.open(() => evicted.push(name))
    charge.onChunk(bytes)
    return charge
  }

  // Guards against ordinary requests that are refused instead of those that fill the memory.
  it('gives up the largest body that has not ended', () => {
    for (const name of ['a', 'b', 'c', 'd']) receive(name, 250 * KILOBYTE)
    receive('large', 300 * KILOBYTE)
    receive('small', KILOBYTE)
    expect(evicted).to.deep.equal(['large'])
  })

  it('counts bodies that have ended until the response, and does not give them up', () => {
    for (let index = 0; index < 4; index++) receive('ended', 250 * KILOBYTE).onEnd(250 * KILOBYTE)
    const next = receive('next', 100 * KILOBYTE)
    expect(evicted).to.deep.equal(['next'])
    next.release()
  })

  // Guards against chunks of one byte, which cost far more than the bytes that they carry.
  it('counts chunks by their number', () => {
    const small = budget.open(() => evicted.push('small chunks'))
    receive('other', 10 * KILOBYTE)
    for (let chunk = 0; chunk < 10_000; chunk++) small.onChunk(4 * KILOBYTE)
    expect(evicted).to.deep.equal(['small chunks'])
  })

  it('serves a single body whatever it takes', () => {
    const alone = budget.open(() => evicted.push('alone'))
    for (let chunk = 0; chunk < 100_000; chunk++) alone.onChunk(250 * KILOBYTE)
    expect(evicted).to.deep.equal([])
  })

  it('has all its room again once the requests are over', () => {
    const charges = ['a', 'b', 'c', 'd', 'e', 'f'].map(name => receive(name, 170 * KILOBYTE))
    for (const charge of charges) charge.release()
    for (const name of ['g', 'h', 'i', 'j', 'k']) receive(name, 170 * KILOBYTE)
    expect(evicted).to.deep.equal([])
  })

  // Guards against a second answer to a request that was refused and whose first is still being sent.
  it('does not give up a body that was refused before', () => {
    const outcomes: string[] = []
    const request = Object.assign(new PassThrough(), { headers: { 'transfer-encoding': 'chunked' } })
    readBody(request as unknown as IncomingMessage, new EventEmitter() as ServerResponse, {
      timeoutMs: 60_000,
      maxBytes: 200 * KILOBYTE,
      budget,
      onBody: () => outcomes.push('body'),
      onTimeout: () => outcomes.push('timeout'),
      onTooLarge: () => outcomes.push('tooLarge'),
      onEvicted: () => outcomes.push('evicted'),
      onExceeded: () => outcomes.push('exceeded')
    })
    request.emit('data', Buffer.alloc(199 * KILOBYTE))
    request.emit('data', Buffer.alloc(2 * KILOBYTE))
    for (let index = 0; index < 12; index++) receive('other', 100 * KILOBYTE)
    expect(outcomes).to.deep.equal(['tooLarge'])
  })
})
