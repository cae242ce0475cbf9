/** Parses JSON text; returns undefined if the text is not valid JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}
