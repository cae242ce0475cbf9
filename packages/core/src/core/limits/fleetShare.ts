/** Divisions of quantities that hold for all entry VMs together. No VM sees what the others use. */

/** Equal part of one VM; the parts of all VMs add up to `total`. */
export function equalShare (total: number, vms: number): number {
  return total / Math.max(vms, 1)
}

/**
 * Equal part of one VM in whole units, at least `minimum`. The parts add up to more than `total` only in a fleet in which
 * the minimum exceeds the equal part.
 */
export function wholeShare (total: number, vms: number, minimum = 1): number {
  return Math.max(Math.floor(equalShare(total, vms)), minimum)
}
