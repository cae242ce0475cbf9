import { z } from 'zod'

const MAX_PORT = 65_535

/** An address, `host:port`. */
export const ADDRESS = z.string().refine(isAddress, 'accepted: host:port, for example 10.0.0.1:9464')

/** The client settings file. Command-line flags override its fields. */
export const CLIENT_SETTINGS = z.strictObject({
  /** Address of the control store. */
  store: ADDRESS.optional(),
  /** Admin addresses of the daemons. */
  daemons: z.array(ADDRESS).min(1, 'accepted: at least one address').optional()
})

export type ClientSettings = z.infer<typeof CLIENT_SETTINGS>

function isAddress (text: string): boolean {
  const port = /^(?:\[[0-9a-fA-F:]+\]|[a-zA-Z0-9.-]+):(\d{1,5})$/.exec(text)?.[1]
  return port !== undefined && Number(port) >= 1 && Number(port) <= MAX_PORT
}
