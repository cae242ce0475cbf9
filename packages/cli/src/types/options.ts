/** Options of every command. */
export interface CommonOptions {
  /** Whether the result is one JSON value on standard output. */
  readonly json: boolean
}

/** Options of commands that ask the control store or daemons. */
export interface FleetOptions extends CommonOptions {
  /** Address of the control store. */
  readonly store?: string
  /** Comma-separated admin addresses. */
  readonly daemons?: string
  /** Client settings file. */
  readonly settings?: string
  readonly timeoutMs: number
}

/** Options of commands that read a policy document. */
export interface FileOptions {
  readonly file: string
}

/** Options of `publish`. */
export interface PublishOptions extends FleetOptions, FileOptions {
  readonly author: string
  /** The revision that the change was made on; the newest one where absent. */
  readonly base?: number
  /** Id of the change; generated where absent. */
  readonly id?: string
}

/** Options of `get`. */
export interface GetOptions extends FleetOptions {
  /** Whether to print only the newest document. */
  readonly document: boolean
}

/** Options of `history`. */
export interface HistoryOptions extends FleetOptions {
  readonly limit: number
}
