/** What the machine of a VM has for the daemon. */
export interface MachineLimits {
  readonly memoryMb: number
  /** Descriptors of files and sockets. */
  readonly descriptors: number
}

/** Assumed where the settings do not say. */
export const DEFAULT_MACHINE_LIMITS: MachineLimits = { memoryMb: 512, descriptors: 8192 }
