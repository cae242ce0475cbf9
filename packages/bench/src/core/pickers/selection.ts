import type { PickContext, UpstreamView } from '@cowsliplead/core/types/picker.js'
import type { RandomSource } from '@cowsliplead/core/types/randomSource.js'

/** Returns the candidates outside `avoidedDomains`, or all candidates if there are none. */
export function preferOtherDomains (candidates: readonly UpstreamView[], context: PickContext): readonly UpstreamView[] {
  if (context.avoidedDomains.size === 0) return candidates
  const eligible = candidates.filter(({ upstream }) => !context.avoidedDomains.has(upstream.failureDomain))
  return eligible.length > 0 ? eligible : candidates
}

/** Picks one item uniformly at random; undefined if there is none. */
export function pickOne<T> (items: readonly T[], random: RandomSource): T | undefined {
  return items[Math.floor(random.next() * items.length)]
}

/** Picks two different items uniformly at random; an item that does not exist is undefined. */
export function pickTwo<T> (items: readonly T[], random: RandomSource): [T | undefined, T | undefined] {
  if (items.length < 2) return [items[0], undefined]
  const first = Math.floor(random.next() * items.length)
  const second = (first + 1 + Math.floor(random.next() * (items.length - 1))) % items.length
  return [items[first], items[second]]
}

/** Picks the item with the lowest cost. Ties are broken at random, so that several VMs do not pick the same item. */
export function pickCheapest<T> (items: readonly T[], costOf: (item: T) => number, random: RandomSource): T | undefined {
  let best: T | undefined
  let bestCost = Infinity
  let tieCount = 0
  for (const item of items) {
    const cost = costOf(item)
    if (cost > bestCost) continue
    tieCount = cost < bestCost ? 1 : tieCount + 1
    if (tieCount > 1 && random.next() * tieCount >= 1) continue
    best = item
    bestCost = cost
  }
  return best
}
