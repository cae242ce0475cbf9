import { initTRPC, TRPCError } from '@trpc/server'
import { z } from 'zod'
import { exchangeMessageSchema } from '@cowsliplead/core/types/exchange.js'
import { CodedError } from '@cowsliplead/core/utils/raise.js'
import { RESULT_CODES } from '@cowsliplead/core/types/resultCode.js'
import { COLLECT_SCHEMA, HANDOVER_SCHEMA, RUN_KEYED_SCHEMA, WITNESS_SCHEMA } from '../../types/peerMessages.js'
import type { PrivateApi } from '../../types/privateApi.js'

/** What is known of a private request. */
export interface PrivateContext {
  /** Whether the request carried the shared key. */
  readonly isAuthorized: boolean
}

const trpc = initTRPC.context<PrivateContext>().create({
  errorFormatter: ({ shape, error }) => ({ ...shape, data: { ...shape.data, stack: undefined, resultCode: resultCodeOf(error) } })
})

/** Number, name and detail of the error, for the operators' client. */
function resultCodeOf (error: TRPCError): { number: number, name: string, detail: string } {
  const { cause } = error
  if (cause instanceof CodedError) return { number: cause.code.number, name: cause.code.name, detail: cause.detail }
  const { number, name } = error.code === 'UNAUTHORIZED' ? RESULT_CODES.keyRefused : RESULT_CODES.internal
  return { number, name, detail: error.message }
}

const procedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.isAuthorized) throw new TRPCError({ code: 'UNAUTHORIZED', message: RESULT_CODES.keyRefused.meaning })
  return next()
})

const changeInput = z.object({
  id: z.string().min(1).max(128),
  base: z.number().int().nonnegative(),
  author: z.string().min(1).max(256),
  document: z.unknown()
})

function operatorRouter (api: PrivateApi) {
  return trpc.router({
    publish: procedure.input(changeInput).mutation(({ input }) => api.publish(input)),
    inForce: procedure.query(() => api.inForce()),
    history: procedure
      .input(z.object({ limit: z.number().int().positive().max(500).default(50) }).prefault({}))
      .query(({ input }) => api.history(input.limit)),
    status: procedure.query(() => api.status()),
    dump: procedure.query(() => api.dump())
  })
}

function peerRouter (api: PrivateApi) {
  return trpc.router({
    configState: procedure
      .input(z.object({ newerThan: z.number().int().min(-1) }))
      .query(({ input }) => api.configState(input.newerThan)),
    exchange: procedure.input(exchangeMessageSchema).mutation(({ input }) => api.peer.exchange(input)),
    ownershipTable: procedure.query(() => api.peer.ownershipTable()),
    runKeyed: procedure.input(RUN_KEYED_SCHEMA).mutation(({ input }) => api.peer.runKeyed(input)),
    witness: procedure.input(WITNESS_SCHEMA).mutation(({ input }) => api.peer.witness(input)),
    witnessedClaims: procedure.input(COLLECT_SCHEMA).mutation(({ input }) => api.peer.witnessedClaims(input)),
    receiveHandover: procedure.input(HANDOVER_SCHEMA).mutation(({ input }) => api.peer.receiveHandover(input))
  })
}

/** The procedures of the private port. */
export function createRouter (api: PrivateApi) {
  return trpc.router({ operator: operatorRouter(api), peer: peerRouter(api) })
}
