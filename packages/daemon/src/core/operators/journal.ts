import type winston from 'winston'

/** Log of what the daemon believes and of its state. */
export type Journal = Pick<winston.Logger, 'info' | 'warn' | 'error'>
