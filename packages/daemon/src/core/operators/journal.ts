import winston from 'winston'

/** Log of state changes; counters cover everything that happens per call. */
export type Journal = Pick<winston.Logger, 'info' | 'warn' | 'error'>

/** A journal that writes one JSON object per line to standard error. */
export function createJournal (vmId: string): Journal {
  return winston.createLogger({
    defaultMeta: { vmId },
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    transports: [new winston.transports.Console({ stderrLevels: ['info', 'warn', 'error'] })]
  })
}
