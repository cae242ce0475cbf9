/** A bound that the decisions bench is known to miss, as listed in KNOWN-RED.txt. */
export interface KnownMiss {
  /** Names of the scenario and the service shape, separated by a space. */
  readonly cell: string
  readonly measure: string
}

const ENTRY_PATTERN = /^decisions \| ([^|]+) \| ([^|]+) \|/

/** Parses the entries of the decisions bench in the text of KNOWN-RED.txt; skips other lines. */
export function parseKnownMisses (text: string): KnownMiss[] {
  return text.split('\n').flatMap(line => {
    const match = ENTRY_PATTERN.exec(line)
    return match === null ? [] : [{ cell: match[1]!.trim(), measure: match[2]!.trim() }]
  })
}
