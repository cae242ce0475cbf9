import type { FleetOptions } from '../../types/options.js'
import type { Terminal } from '../../types/terminal.js'
import { resolveDaemons } from '../connection.js'
import { askDump } from '../daemons.js'

/** Prints the complete state of the first daemon that answers; always JSON, on one line with `--json`. */
export async function dump (options: FleetOptions, terminal: Terminal): Promise<number> {
  const state = await askDump(resolveDaemons(options), options.timeoutMs)
  terminal.out(JSON.stringify(state, undefined, options.json ? undefined : 2))
  return 0
}
