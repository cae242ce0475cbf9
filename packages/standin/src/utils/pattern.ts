/** Period of the pattern; a prime, so that chunks of a download differ and a shifted or repeated chunk is detected. */
const PERIOD_BYTES = 65_521

const PATTERN = Buffer.from(Uint8Array.from({ length: PERIOD_BYTES }, (_, index) => (index * 31 + (index >> 8) * 7) & 0xff))

/** Returns the bytes of a download at `offset`; the content is the same for all upstreams. */
export function readPattern (offset: number, length: number): Buffer {
  const bytes = Buffer.allocUnsafe(length)
  let filled = 0
  while (filled < length) {
    filled += PATTERN.copy(bytes, filled, (offset + filled) % PERIOD_BYTES)
  }
  return bytes
}
