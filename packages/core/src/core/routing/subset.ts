import { SeededRandom } from '../../types/randomSource.js'

/**
 * The part of `all` that the VM at `rank` uses. VMs of one round split a shuffled list into disjoint parts,
 * and each round shuffles anew, so that every upstream serves about the same number of VMs.
 */
export function chooseSubset<Item> (all: readonly Item[], limit: number, rank: number): Item[] {
  if (all.length <= limit) return [...all]
  const parts = Math.ceil(all.length / limit)
  const round = Math.floor(rank / parts)
  const part = rank % parts
  const chosen = new Set(shuffle(all, round).filter((_, index) => index % parts === part))
  return all.filter(item => chosen.has(item))
}

function shuffle<Item> (items: readonly Item[], seed: number): Item[] {
  const random = SeededRandom.create(seed + 1)
  return items
    .map(item => ({ item, key: random.next() }))
    .sort((one, other) => one.key - other.key)
    .map(({ item }) => item)
}
