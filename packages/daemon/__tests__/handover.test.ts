import { expect } from 'chai'
import type { HandedKey, HandoverPayload } from '@cowsliplead/core/types/keyedCall.js'
import { createPeerClient } from '../src/core/peers/peerClients.js'
import { decodeHandover, encodeHandover, HANDED_RESPONSES_BYTES } from '../src/utils/peerCodec.js'
import { call, Rig, SHARED_KEY } from './harness.js'

const RESPONSE = { status: 201, headers: { 'content-type': 'text/plain' }, body: new Uint8Array(16_384).fill(7) }

/** A partition whose keys all have a response of the largest size; the first key is the oldest. */
function createPayload (count: number): HandoverPayload {
  const keys: HandedKey[] = Array.from({ length: count }, (_, index) => ({
    key: `key ${index}`, fingerprint: 'f', expiresAt: index, outcome: { kind: 'done', status: 201, response: RESPONSE }
  }))
  return { from: 'vm1#1', to: 'vm0#1', partition: 3, epoch: 9, keys, refusals: [], servesArrivalsFrom: -Infinity, unanswered: [], unseenUntil: 0 }
}

describe('handover messages', () => {
  // Guards against a message that the successor refuses for its size, and against a key that is forgotten with its response.
  it('keep every key and leave out the oldest responses beyond the bound', () => {
    const payload = createPayload(1000)
    const text = JSON.stringify(encodeHandover(payload))
    expect(text.length).to.be.within(HANDED_RESPONSES_BYTES / 2, HANDED_RESPONSES_BYTES + 1000 * 200)
    const { keys } = decodeHandover(JSON.parse(text) as ReturnType<typeof encodeHandover>)
    expect(keys.map(({ key }) => key)).to.deep.equal(payload.keys.map(({ key }) => key))
    expect(keys.every(({ outcome }) => outcome.kind === 'done' && outcome.status === 201)).to.equal(true)
    const has = keys.map(({ outcome }) => outcome.kind === 'done' && outcome.response !== undefined)
    const first = has.indexOf(true)
    expect(first).to.be.within(700, 900)
    expect(has.slice(first).every(Boolean)).to.equal(true)
    expect(keys[999]?.outcome).to.deep.equal({ kind: 'done', status: 201, response: { ...RESPONSE, body: Buffer.from(RESPONSE.body) } })
  })

  // Guards against a body limit below the largest handover, and against one that whoever reaches the port can use up.
  it('are taken whole by the private port from peers only', async () => {
    const rig = await Rig.create()
    try {
      const { ports } = await rig.start()
      const message = encodeHandover(createPayload(1000))
      const keys = Array.from({ length: 100_000 }, (_, index) => ({ key: `${index}`.padEnd(256), fingerprint: 'f'.repeat(44), expiresAt: 0, outcome: { kind: 'unknown' as const } }))
      const refusals = keys.map(({ key }) => ({ key, at: 0, code: 'claimUnavailable' }))
      const largest = { ...message, keys: [...message.keys, ...keys], refusals }
      await createPeerClient(`127.0.0.1:${ports.private}`, SHARED_KEY).peer.receiveHandover.mutate(largest)
      const body = Buffer.alloc(1_000_000, ' ')
      const framings: ReadonlyArray<Record<string, string>> = [{ 'content-length': String(body.length) }, { 'transfer-encoding': 'chunked' }]
      for (const framing of framings) {
        const headers = { 'content-type': 'application/json', ...framing }
        const answer = await call(ports.private, 'POST', '/trpc/peer.receiveHandover', { headers, body }).catch((error: NodeJS.ErrnoException) => error)
        if (answer instanceof Error) expect(answer.code).to.be.oneOf(['EPIPE', 'ECONNRESET'])
        else expect(answer.status).to.equal(413)
      }
    } finally {
      await rig.close()
    }
  })
})
