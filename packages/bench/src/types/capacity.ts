/** The value measured at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Line fitted to measured points. */
export interface Line {
  readonly intercept: number
  readonly slope: number
  /** Largest absolute deviation of a point's value from the line, in the unit of the values. */
  readonly largestDeviation: number
}

/** One quantity measured at several sizes, with the fitted line. */
export interface Measurement {
  readonly name: string
  readonly unit: string
  /** What the sizes count, for example upstreams. */
  readonly sizeOf: string
  readonly points: readonly Point[]
  readonly line: Line
}

/** All measurements of one run of the capacity benchmark. */
export interface CapacityReport {
  readonly command: string
  readonly node: string
  readonly rounds: number
  readonly measurements: readonly Measurement[]
}
