import { expect } from 'chai'
import { SeededRandom } from '@cowsliplead/core/types/randomSource.js'
import { sampleServiceTime } from '../src/core/serviceTimeSampler.js'
import { SERVICE_TIME } from '../src/types/upstreamOptions.js'

const SAMPLES = 20_000

function sampleMany (distribution: string, seed: number): number[] {
  const serviceTime = SERVICE_TIME.parse({ distribution, meanMs: 10, sigma: 0.8 })
  const random = SeededRandom.create(seed)
  return Array.from({ length: SAMPLES }, () => sampleServiceTime(serviceTime, random))
}

describe('service times', () => {
  for (const distribution of ['constant', 'exponential', 'lognormal']) {
    // Guards against a distribution whose mean differs from the configured one, which would skew every benchmark.
    it(`${distribution}: has the configured mean and is reproducible from its seed`, () => {
      const samples = sampleMany(distribution, 7)
      const mean = samples.reduce((sum, sample) => sum + sample, 0) / SAMPLES
      expect(mean).to.be.closeTo(10, 0.5)
      expect(samples).to.deep.equal(sampleMany(distribution, 7))
    })
  }
})
