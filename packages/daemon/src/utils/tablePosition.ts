import type { TablePosition } from '../types/controlStore.js'

/** Whether `one` is further than `other`: read in a later epoch, or up to a higher offset of the same one. */
export function isAhead (one: TablePosition, other: TablePosition): boolean {
  return one.epoch === other.epoch ? one.offset > other.offset : one.epoch > other.epoch
}

/** Whether a VM at position `reached` has everything up to `position`. */
export function includes (reached: TablePosition, position: TablePosition): boolean {
  return reached.epoch === position.epoch && reached.offset >= position.offset
}
