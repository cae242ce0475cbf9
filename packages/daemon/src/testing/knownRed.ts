import { readFileSync, existsSync } from 'node:fs'

const KNOWN_RED = new URL('../../../../../KNOWN-RED.txt', import.meta.url)

const ENTRY_PREFIX = 'test | '

/**
 * Declares a test that may be listed in KNOWN-RED.txt, by a line `test | TITLE | WHAT WAS SEEN`. A listed test is printed
 * and skipped while it fails, and fails once it passes, so that its entry is removed.
 */
export function itOrKnownRed (title: string, body: () => Promise<void>): void {
  it(title, async function () {
    if (!knownTitles().includes(title)) return body()
    const failure = await body().then(() => undefined, (error: Error) => error)
    if (failure === undefined) throw new Error(`${title}: passes, remove its entry from KNOWN-RED.txt`)
    console.log(`      known red: ${title}: ${failure.message}`)
    this.skip()
  })
}

function knownTitles (): string[] {
  const text = existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : ''
  const entries = text.split('\n').filter(line => line.startsWith(ENTRY_PREFIX))
  return entries.map(line => line.slice(ENTRY_PREFIX.length).split(' | ', 1)[0] as string)
}
