/** Returns a uniform number in [0, 1) that depends only on the arguments, and is thus the same for every policy. */
export function hashUniform (seed: number, a: number, b: number): number {
  let x = (seed ^ Math.imul(a, 0x9e3779b1) ^ Math.imul(b, 0x85ebca6b)) | 0
  x = Math.imul(x ^ (x >>> 16), 0x21f0aaad)
  x = Math.imul(x ^ (x >>> 15), 0x735a2d97)
  return ((x ^ (x >>> 15)) >>> 0) / 0x100000000
}

/** Hashes `text` to a 32-bit integer (FNV-1a over code points), for deriving seeds. */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (const character of text) hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193)
  return hash | 0
}
