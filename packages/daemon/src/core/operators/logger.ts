import type winston from 'winston'

/** Logger for the state of the daemon; lines about single requests go through `EventLog.logRequest`. */
export type Logger = Pick<winston.Logger, 'info' | 'warn' | 'error'>
