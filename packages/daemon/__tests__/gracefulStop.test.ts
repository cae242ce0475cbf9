import { expect } from 'chai'
import { RESULT_CODES } from '@cowsliplead/core/types/resultCode.js'
import { CODE_HEADER } from '../src/utils/headers.js'
import { sleep } from '../src/utils/sleep.js'
import { call, createSettings, reply, Rig } from './harness.js'

const LONG_GRACE_MS = 5000

/** When the load balancer has taken the daemon out, and it still listens. */
const DETECTED_AFTER_MS = 2600

describe('a stopping daemon', () => {
  // Guards against a request that is taken shortly before the daemon exits and cut off without an answer.
  it('refuses a request that may outlast it and serves one that does not', async () => {
    const rig = await Rig.create((_incoming, response) => reply(response, 'ok'))
    try {
      const daemon = await rig.start(createSettings({ graceMs: LONG_GRACE_MS }))
      const stopped = daemon.stop()
      await sleep(DETECTED_AFTER_MS)
      const refused = await call(daemon.ports.public, 'GET', '/permits/1')
      const served = await call(daemon.ports.public, 'GET', '/permits/1', { headers: { 'x-timeout-ms': '500' } })
      expect([refused.status, refused.headers[CODE_HEADER]]).to.deep.equal([503, String(RESULT_CODES.stopping.number)])
      expect(refused.headers).to.include.keys('retry-after')
      expect(served.status).to.equal(200)
      await stopped
    } finally {
      await rig.close()
    }
  })
})
