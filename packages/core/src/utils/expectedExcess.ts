/**
 * Expected value of max(0, X) for a normally distributed X. Only load beyond the free slots waits, so the expected wait
 * at an uncertain load depends on this value rather than on the mean.
 */
export function expectedExcess (mean: number, deviation: number): number {
  if (deviation < 1e-6) return Math.max(0, mean)
  const z = mean / deviation
  return deviation * density(z) + mean * cumulative(z)
}

function density (z: number): number {
  return Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI)
}

// Logistic approximation of the normal CDF. Its error is below 0.01, far less than that of the load estimate.
function cumulative (z: number): number {
  return 1 / (1 + Math.exp(-1.702 * z))
}
