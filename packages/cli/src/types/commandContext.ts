import type { ControlStore } from '@cowsliplead/daemon/types/controlStore.js'
import type { Terminal } from './terminal.js'

/** What commands need from the program that embeds the client. */
export interface CommandContext {
  readonly terminal: Terminal
  /** Opens the control store at `IP:port`. */
  readonly openStore: (address: string) => ControlStore
}
