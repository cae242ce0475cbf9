// Half of the backends spoil 2 in 100 of their answers: one byte of a header line is a control character. Requests last 20 ms.
import { Deployment, keptConnections, runCase, send, WITH_TROUBLE } from '../lib/deployment.mjs'

const REQUESTS = 2400
const CONCURRENCY = 12
const FAULTY_SHARE = 0.5
const SPOILED_SHARE = 0.02
const TIMEOUT_S = 1
const HOST = 'permits.example'
/** With VARIANT=utf8, no byte is spoiled: the line is one that a sound server may send. */
const SPOILED_LINE = process.env.VARIANT === 'utf8'
  ? Buffer.from('Content-Disposition: attachment; filename="b\u0151v\u00edtett.pdf"', 'utf8').toString('latin1')
  : 'X-Record: permit\u0001record'

const services = [{ name: 'permits', backends: 6, workMs: 20 }, { name: 'marshal-desk', backends: 3, workMs: 20 }]
const routes = [
  { name: 'permit-issue', host: HOST, pathPrefix: '/issue/', kind: 'unsafe', service: 'permits', timeoutS: TIMEOUT_S, targetLatencyS: 0.4 },
  { name: 'permit-lookup', host: HOST, pathPrefix: '/lookup/', kind: 'safe', service: 'permits', timeoutS: TIMEOUT_S, targetLatencyS: 0.4 }
]

await runCase(import.meta.url, async record => {
  const deployment = await Deployment.start({ services, routes })
  const permits = deployment.backends.filter(({ service }) => service === 'permits')
  const spoiled = new Set()
  permits.forEach((backend, index) => {
    const isFaulty = WITH_TROUBLE && index < permits.length * FAULTY_SHARE
    let answers = 0
    backend.answer = async (request, self, connection) => {
      const isSpoiled = isFaulty && ++answers % Math.round(1 / SPOILED_SHARE) === 0
      if (isSpoiled) spoiled.add(request.id)
      self.write(connection, request, 200, { body: `done ${request.id}`, headers: [isSpoiled ? SPOILED_LINE : 'X-Record: permit-record'] })
    }
  })
  const agent = keptConnections()
  const ends = {}
  let unanswered = 0
  let late = 0
  let sent = 0
  const worker = async () => {
    while (sent < REQUESTS) {
      const index = sent++
      const daemon = deployment.daemons[index % deployment.daemons.length]
      const isSafe = index % 2 === 0
      const answer = await send(daemon.publicAddress, { method: isSafe ? 'GET' : 'POST', host: HOST, path: `/${isSafe ? 'lookup' : 'issue'}/${index}`, body: isSafe ? undefined : `permit ${index}`, timeLimitMs: 3000, agent })
      const key = `${isSafe ? 'safe' : 'unsafe'} ${answer.status} ${answer.end}`
      ends[key] = (ends[key] ?? 0) + 1
      if (answer.tookMs > TIMEOUT_S * 1000) late++
      if (answer.tookMs > TIMEOUT_S * 1000 + 500) unanswered++
      if (spoiled.has(answer.id) || answer.end === 'timeLimit') record(`requester: ${answer.id} (${key}) after ${answer.tookMs} ms${spoiled.has(answer.id) ? ', its answer was spoiled' : ''}`)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, worker))
  record(`${REQUESTS} requests: ${JSON.stringify(ends)}; ${spoiled.size} spoiled answers; ${late} requests lasted longer than timeoutS, ${unanswered} of them had no answer 0.5 s after it`)
  await deployment.stop()
  return !(unanswered >= 8 && unanswered > late / 4)
})
