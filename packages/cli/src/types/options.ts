/** Options that all commands share. */
export interface CommonOptions {
  /** Whether to print the result as one JSON value. */
  readonly json: boolean
}

/** Options of commands that query the control store or the daemons. */
export interface FleetOptions extends CommonOptions {
  /** Address of the control store. */
  readonly store?: string
  /** Admin addresses of the daemons, comma-separated. */
  readonly daemons?: string
  /** Path of the client settings file. */
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
  /** Revision that the change is based on; defaults to the newest one. */
  readonly base?: number
  /** Id of the change; generated if absent. */
  readonly id?: string
}

/** Options of `get`. */
export interface GetOptions extends FleetOptions {
  /** Whether to print only the newest policy document. */
  readonly document: boolean
}

/** Options of `history`. */
export interface HistoryOptions extends FleetOptions {
  readonly limit: number
}
