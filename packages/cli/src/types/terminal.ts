/** Output of a command; tests pass their own. */
export interface Terminal {
  /** Writes one line to standard output. */
  out (line: string): void
  /** Writes one line to standard error. */
  err (line: string): void
}
