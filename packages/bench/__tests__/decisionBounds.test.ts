import { existsSync, readFileSync } from 'node:fs'
import { expect } from 'chai'
import { checkBounds, type MissedBound } from '../src/core/decisions/checkBounds.js'
import { listCells } from '../src/core/decisions/cells.js'
import { runInWorkers } from '../src/core/decisions/runInWorkers.js'
import { parseKnownMisses } from '../src/utils/knownRed.js'

const SEED = 1
const WORKERS = 4
// All cells take about a minute on an idle machine; the timeout only ends a run that hangs.
const TIMEOUT_MS = 600_000
const KNOWN_RED = new URL('../../../../KNOWN-RED.txt', import.meta.url)

const knownMisses = parseKnownMisses(existsSync(KNOWN_RED) ? readFileSync(KNOWN_RED, 'utf8') : '')

describe(`decision bounds, npm run bench -- --seed ${SEED} --check`, function () {
  this.timeout(TIMEOUT_MS)
  let missed: MissedBound[] = []

  before(async () => {
    missed = checkBounds(await runInWorkers({ seed: SEED }, WORKERS))
  })

  // Guards against a dispatcher change that worsens latency or the on-time share in any scenario. A cell whose misses
  // are exactly those listed in KNOWN-RED.txt is printed and skipped; an entry for a bound that is met again must go.
  for (const { scenario, shape } of listCells({ seed: SEED })) {
    it(`${scenario} ${shape}`, function () {
      const cell = `${scenario} ${shape}`
      const missedHere = missed.filter(miss => miss.scenario === scenario && miss.shape === shape)
      const knownMeasures = knownMisses.filter(entry => entry.cell === cell).map(({ measure }) => measure)
      expect(missedHere.map(({ measure }) => measure)).to.have.members(knownMeasures)
      if (missedHere.length === 0) return
      for (const { measure, measured, bound } of missedHere) console.log(`      known red: ${cell}: ${measure} ${measured}, bound ${bound}`)
      this.skip()
    })
  }

  it('KNOWN-RED.txt lists only existing cells', () => {
    const cells = listCells({ seed: SEED }).map(({ scenario, shape }) => `${scenario} ${shape}`)
    expect(cells).to.include.members(knownMisses.map(({ cell }) => cell))
  })
})
