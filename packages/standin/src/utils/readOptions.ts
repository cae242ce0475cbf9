import { readFileSync } from 'node:fs'
import yargs from 'yargs'
import { z } from 'zod'

/** Reads the options of a stand-in from the JSON file given by `--options`; `--port` overrides the port in the file. */
export function readOptions<Schema extends z.ZodType> (schema: Schema, args: readonly string[]): z.infer<Schema> {
  const parsed = yargs([...args])
    .option('options', { type: 'string', describe: 'JSON file with the options' })
    .option('port', { type: 'number', describe: 'port to listen on, 0 for a free one' })
    .strict()
    .parseSync()
  const fromFile: unknown = parsed.options === undefined ? {} : JSON.parse(readFileSync(parsed.options, 'utf8'))
  const fromArgs = parsed.port === undefined ? {} : { port: parsed.port }
  return schema.parse({ ...fromFile as object, ...fromArgs })
}

/** Calls `stop` on the first SIGTERM and on the first SIGINT. */
export function stopOnSignal (stop: () => Promise<void>): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => void stop())
}
