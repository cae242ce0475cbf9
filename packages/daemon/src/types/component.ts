/** A part of the daemon that can fail and be restarted independently. */
export interface Component {
  readonly name: string
  /** Starts the component; `onFailure` is called at most once when it fails afterwards. */
  start (onFailure: (error: Error) => void): Promise<void>
  /** Stops the component and releases its resources. */
  stop (): Promise<void>
}
