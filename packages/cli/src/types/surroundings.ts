import type { ControlStore } from '@cowsliplead/daemon/types/controlStore.js'
import type { Terminal } from './terminal.js'

/** What the client is given by the program around it. */
export interface Surroundings {
  readonly terminal: Terminal
  /** Opens the control store at `IP:port`. */
  readonly openStore: (address: string) => ControlStore
}
