import { expect } from 'chai'
import { fitLine } from '../src/core/capacity/lineFit.js'

describe('line fit', () => {
  // Guards against swapping slope and intercept, and against a fit to only two of the points.
  it('finds the line through points that lie on it, in any order', () => {
    const line = fitLine([{ size: 30, value: 67 }, { size: 10, value: 27 }, { size: 2, value: 11 }])
    expect(line.slope).to.be.closeTo(2, 1e-9)
    expect(line.intercept).to.be.closeTo(7, 1e-9)
    expect(line.largestDeviation).to.be.closeTo(0, 1e-9)
  })

  // Guards against reporting a signed or mean deviation: least squares gives y = 1/3 + x here.
  it('reports the largest absolute deviation from the line', () => {
    const line = fitLine([{ size: 0, value: 1 }, { size: 1, value: 0 }, { size: 2, value: 3 }])
    expect(line.slope).to.be.closeTo(1, 1e-9)
    expect(line.intercept).to.be.closeTo(1 / 3, 1e-9)
    expect(line.largestDeviation).to.be.closeTo(4 / 3, 1e-9)
  })

  // Guards against a slope of NaN when all sizes are equal.
  it('rejects points of a single size', () => {
    expect(() => fitLine([{ size: 3, value: 1 }, { size: 3, value: 2 }])).to.throw(RangeError)
    expect(() => fitLine([])).to.throw(RangeError)
  })
})
