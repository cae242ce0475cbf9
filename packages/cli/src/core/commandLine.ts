import { readFileSync } from 'node:fs'
import yargs, { type Argv } from 'yargs'
import { CodedError, raise } from '@cowsliplead/core/utils/raise.js'
import { describeExitCodes } from '../types/exitCode.js'
import type { CommonOptions, FileOptions, FleetOptions, GetOptions, HistoryOptions, PublishOptions } from '../types/options.js'
import type { CommandContext } from '../types/commandContext.js'
import { check } from './commands/check.js'
import { diff } from './commands/diff.js'
import { dump } from './commands/dump.js'
import { get } from './commands/get.js'
import { history } from './commands/history.js'
import { publish } from './commands/publish.js'
import { status } from './commands/status.js'

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url)
const HELP_COLUMNS = 110
const DEFAULT_TIMEOUT_MS = 15_000
const MAX_ID_LENGTH = 128
const MAX_AUTHOR_LENGTH = 256
const MAX_HISTORY_CHANGES = 100

/** Result of parsing: a command to run, or a text to print, such as the help. */
export type ParsedCommandLine =
  | { readonly text: string }
  | { readonly run: (context: CommandContext) => number | Promise<number> }

/** Parses the command line without running the command; raises `usage` if it is not valid. */
export async function parseCommandLine (args: readonly string[]): Promise<ParsedCommandLine> {
  let text = ''
  let parsed: ParsedCommandLine | undefined
  const parser = createParser(command => {
    parsed = command
  })
  await parser.parseAsync([...args], {}, (_error, _argv, output) => {
    text = output
  })
  return parsed ?? { text }
}

type CommandCallback = (command: ParsedCommandLine) => void

function createParser (onCommand: CommandCallback): Argv {
  const parser = yargs()
    .scriptName('cowsliplead')
    .usage('$0 COMMAND\n\nPublishes the policy of the fleet and shows which revision is in force')
    .option('json', { type: 'boolean', default: false, describe: 'print one JSON value' })
    .example('$0 check policy.json', 'check a file offline')
    .example('$0 publish policy.json --author akinyi --store 10.0.0.5:8142', 'publish on the newest revision')
    .example('$0 get --store 10.0.0.5:8142 --daemons 10.0.0.1:9464,10.0.0.2:9464', 'show the revision of each VM')
    .epilogue(describeExitCodes())
  return addFleetCommands(addFileCommands(parser, onCommand), onCommand)
    .demandCommand(1, 1, 'no command is given', 'more than one command is given')
    .strict()
    .parserConfiguration({ 'duplicate-arguments-array': false })
    .locale('en')
    .version(readVersion())
    .exitProcess(false)
    .wrap(HELP_COLUMNS)
    .fail(raiseUsage)
}

/** yargs calls this twice for one failed check, the second time with the error that the first call raised. */
function raiseUsage (message: string | undefined, error: Error | undefined): never {
  if (error instanceof CodedError) throw error
  return raise('usage', message ?? error?.message)
}

function addFileCommands (parser: Argv, onCommand: CommandCallback): Argv {
  return parser
    .command('check FILE', 'Check a policy file', withFileArgument, argv =>
      onCommand({ run: ({ terminal }) => check(argv as unknown as CommonOptions & FileOptions, terminal) }))
    .command('publish FILE', 'Publish a policy file', withPublishOptions, argv =>
      onCommand({ run: context => publish(argv as unknown as PublishOptions, context) }))
    .command('diff FILE', 'Compare a file with the newest policy', command => withFleetOptions(withFileArgument(command)), argv =>
      onCommand({ run: context => diff(argv as unknown as FleetOptions & FileOptions, context) }))
}

function addFleetCommands (parser: Argv, onCommand: CommandCallback): Argv {
  return parser
    .command('get', 'Show which revision is in force on each VM', withGetOptions, argv =>
      onCommand({ run: context => get(argv as unknown as GetOptions, context) }))
    .command('status', 'Show the state of every daemon given', withFleetOptions, argv =>
      onCommand({ run: ({ terminal }) => status(argv as unknown as FleetOptions, terminal) }))
    .command('history', 'List the newest changes', withHistoryOptions, argv =>
      onCommand({ run: context => history(argv as unknown as HistoryOptions, context) }))
    .command('dump', 'Print the complete state of one daemon', withFleetOptions, argv =>
      onCommand({ run: ({ terminal }) => dump(argv as unknown as FleetOptions, terminal) }))
}

function withFileArgument (command: Argv): Argv {
  return command.positional('FILE', { type: 'string', describe: 'policy document, JSON' })
    .middleware(argv => {
      argv.file = argv.FILE
    })
}

function withFleetOptions (command: Argv): Argv {
  return command
    .option('store', { type: 'string', requiresArg: true, describe: 'control store, host:port' })
    .option('daemons', { type: 'string', requiresArg: true, describe: 'admin addresses, host:port, separated by commas' })
    .option('settings', { type: 'string', requiresArg: true, describe: 'JSON file with store and daemons; flags override it' })
    .option('timeout-ms', { type: 'number', requiresArg: true, default: DEFAULT_TIMEOUT_MS, describe: 'time allowed for each daemon and for the store' })
    .check(({ timeoutMs }) => isWholeNumber(timeoutMs, 1) || 'accepted for --timeout-ms: a whole number from 1')
}

function withPublishOptions (command: Argv): Argv {
  return withFleetOptions(withFileArgument(command))
    .option('author', { type: 'string', requiresArg: true, demandOption: true, describe: 'who makes the change' })
    .option('base', { type: 'number', requiresArg: true, describe: 'revision that the change is based on; default: the newest' })
    .option('id', { type: 'string', requiresArg: true, describe: 'id of the change, to retry it; default: a new one' })
    .check(({ base }) => base === undefined || isWholeNumber(base, 0) || 'accepted for --base: a whole number from 0')
    .check(({ author }) => isText(author, MAX_AUTHOR_LENGTH) || `accepted for --author: 1 to ${MAX_AUTHOR_LENGTH} characters`)
    .check(({ id }) => id === undefined || isText(id, MAX_ID_LENGTH) || `accepted for --id: 1 to ${MAX_ID_LENGTH} characters`)
    .example('$0 publish policy.json --author akinyi --base 41', 'fails with a conflict if revision 41 is no longer the newest')
}

function withGetOptions (command: Argv): Argv {
  return withFleetOptions(command)
    .option('document', { type: 'boolean', default: false, describe: 'print only the newest document' })
    .example('$0 get --document > policy.json', 'start an edit from the newest document')
}

function withHistoryOptions (command: Argv): Argv {
  return withFleetOptions(command)
    .option('limit', { type: 'number', requiresArg: true, default: 20, describe: `number of changes, up to ${MAX_HISTORY_CHANGES}` })
    .check(({ limit }) => (isWholeNumber(limit, 1) && limit <= MAX_HISTORY_CHANGES) || `accepted for --limit: a whole number from 1 to ${MAX_HISTORY_CHANGES}`)
}

function isWholeNumber (value: unknown, min: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= min
}

function isText (value: unknown, maxLength: number): boolean {
  return typeof value === 'string' && value.trim() !== '' && value.length <= maxLength
}

function readVersion (): string {
  return (JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }).version
}
