import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { RESULT_CODES } from '../src/types/resultCode.js'

const PAGE = new URL('../../../../docs/RESULT-CODES.md', import.meta.url)

describe('result codes', () => {
  const codes = Object.entries(RESULT_CODES)

  // Guards against undocumented codes and outdated rows.
  it('match the rows of docs/RESULT-CODES.md', () => {
    const rows = readFileSync(PAGE, 'utf8').split('\n').filter(line => /^\| \d/.test(line))
    const expected = codes.map(([, code]) => `| ${code.number} | ${code.name} | ${code.outcome} | ${code.meaning} |`)
    expect(rows).to.deep.equal(expected)
  })

  // Guards against codes that cannot be distinguished in a log or a script.
  it('have unique numbers and names equal to their keys', () => {
    expect(new Set(codes.map(([, code]) => code.number)).size).to.equal(codes.length)
    for (const [name, code] of codes) expect(code.name).to.equal(name)
  })
})
