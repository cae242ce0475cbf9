import type { createRouter } from '../core/operators/router.js'

/** Type of the private port's procedures, for typed clients. */
export type AppRouter = ReturnType<typeof createRouter>
