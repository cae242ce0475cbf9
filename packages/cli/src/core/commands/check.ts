import type { CommonOptions, FileOptions } from '../../types/options.js'
import type { Terminal } from '../../types/terminal.js'
import { readDocument } from '../../utils/readFiles.js'

/** Checks a policy document offline. */
export function check ({ file, json }: CommonOptions & FileOptions, terminal: Terminal): number {
  const { parsed } = readDocument(file)
  const counts = { defaults: Object.keys(parsed.defaults.routing).length, exceptions: parsed.exceptions.length }
  if (json) terminal.out(JSON.stringify({ valid: true, ...counts }))
  else terminal.out(`${file} is valid: defaults ${counts.defaults}, exceptions ${counts.exceptions}`)
  return 0
}
