import type { FleetOptions } from '../../types/options.js'
import type { Terminal } from '../../types/terminal.js'
import { resolveDaemons } from '../addresses.js'
import { fetchDump } from '../daemonClient.js'

/** Prints the complete state of the first daemon that answers, as JSON; on one line with `--json`. */
export async function dump (options: FleetOptions, terminal: Terminal): Promise<number> {
  const dumped = await fetchDump(resolveDaemons(options), options.timeoutMs)
  terminal.out(JSON.stringify(dumped, undefined, options.json ? undefined : 2))
  return 0
}
