import type { FastifyError, FastifyInstance } from 'fastify'
import { z } from 'zod'
import type { RunCounts } from './runCounts.js'
import type { FaultInjector } from './faultInjector.js'

const SILENCE_BODY = z.strictObject({ share: z.number().min(0).max(1).default(1) })
const RUNS_QUERY = z.object({ ids: z.enum(['0', '1']).default('1') })

/** The parts of an upstream that the control routes read and change. */
export interface ControlTarget {
  readonly runs: RunCounts
  readonly faults: FaultInjector
  recordLoad (): void
}

/** Adds the routes under /control, which are not subject to faults. */
export function addUpstreamControl (server: FastifyInstance, target: ControlTarget): void {
  server.setErrorHandler((error: FastifyError, _request, reply) => {
    if (error instanceof z.ZodError) return reply.code(400).send({ error: z.prettifyError(error) })
    return reply.code(error.statusCode ?? 500).send({ error: error.message })
  })
  addFaultRoutes(server, target)
  server.get('/control/runs', async request => {
    const { ids } = RUNS_QUERY.parse(request.query)
    return ids === '1' ? target.runs.report() : target.runs.summary()
  })
}

function addFaultRoutes (server: FastifyInstance, target: ControlTarget): void {
  const { faults } = target
  server.get('/control/faults', async () => faults.current())
  server.put('/control/faults', async request => {
    faults.merge(request.body)
    target.recordLoad()
    return faults.current()
  })
  server.delete('/control/faults', async () => {
    faults.clear()
    target.recordLoad()
    return faults.current()
  })
  server.post('/control/silence', async request => {
    const { share } = SILENCE_BODY.parse(request.body ?? {})
    return { silenced: faults.silenceConnections(share) }
  })
}
