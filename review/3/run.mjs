// Unsafe requests with answers of 200 KB. Half of the backends give 2 in 100 of their answers without a length and reset the connection midway.
import { Deployment, runCase, send, WITH_TROUBLE } from '../lib/deployment.mjs'
import { sealOf, sleep } from '../lib/backend.mjs'

const REQUESTS = 1000
const CONCURRENCY = 12
const BODY_BYTES = 200_000
const FAULTY_SHARE = 0.5
const SPOILED_SHARE = 0.02
const HOST = 'permits.example'

const services = [{ name: 'permits', backends: 6, workMs: 20 }, { name: 'marshal-desk', backends: 3, workMs: 20 }]
const routes = [{ name: 'permit-issue', host: HOST, pathPrefix: '/issue/', kind: 'unsafe', service: 'permits', timeoutS: 5, targetLatencyS: 1 }]

await runCase(import.meta.url, async record => {
  const deployment = await Deployment.start({ services, routes })
  const permits = deployment.backends.filter(({ service }) => service === 'permits')
  const spoiled = new Set()
  permits.forEach((backend, index) => {
    const isFaulty = WITH_TROUBLE && index < permits.length * FAULTY_SHARE
    let answers = 0
    backend.answer = async (request, self, connection) => {
      const body = Buffer.alloc(BODY_BYTES, `${request.id} `)
      answers++
      if (!isFaulty || answers % Math.round(1 / SPOILED_SHARE) !== 0) return self.write(connection, request, 200, { body })
      spoiled.add(request.id)
      record(`backend ${self.id} answers ${request.id} without a length and resets the connection after half of the body`)
      const answer = self.encode(request, 200, { body, framing: 'none', headers: ['Connection: close'] })
      connection.socket.write(answer.subarray(0, answer.length - BODY_BYTES / 2))
      await sleep(100)
      connection.socket.resetAndDestroy()
    }
  })
  let wrong = 0
  const ends = {}
  let sent = 0
  const worker = async () => {
    while (sent < REQUESTS) {
      const index = sent++
      const daemon = deployment.daemons[index % deployment.daemons.length]
      const answer = await send(daemon.publicAddress, { method: 'POST', host: HOST, path: `/issue/${index}`, body: `permit ${index}`, timeLimitMs: 5000 })
      const isWhole = answer.headers['x-cowsliplead-backend-seal'] === sealOf(answer.id, answer.body)
      const key = `${answer.status} ${answer.end}${answer.isComplete && answer.status === 200 && !isWhole ? ' NOT WHOLE' : ''}`
      ends[key] = (ends[key] ?? 0) + 1
      if (spoiled.has(answer.id)) record(`requester: ${answer.id} got ${key}, ${answer.body.length} of ${BODY_BYTES} bytes, headers ${JSON.stringify(answer.headers)}`)
      if (answer.isComplete && answer.status >= 200 && answer.status < 300 && !isWhole) wrong++
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, worker))
  record(`${REQUESTS} requests: ${JSON.stringify(ends)}; ${spoiled.size} answers broken off; ${wrong} of them given as complete`)
  await deployment.stop()
  return wrong === 0
})
