import type { Line, Point } from '../../types/capacity.js'

/** Fits a line by least squares; needs points of at least two different sizes. */
export function fitLine (points: readonly Point[]): Line {
  const meanSize = mean(points.map(({ size }) => size))
  const meanValue = mean(points.map(({ value }) => value))
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  if (!(spread > 0)) throw new RangeError('a line fit needs points of at least two different sizes')
  const slope = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0) / spread
  const intercept = meanValue - slope * meanSize
  const deviations = points.map(({ size, value }) => Math.abs(value - intercept - slope * size))
  return { intercept, slope, largestDeviation: Math.max(...deviations) }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}
