import { readFileSync } from 'node:fs'
import yargs, { type Argv } from 'yargs'
import { CodedError, raise } from '@cowsliplead/core/utils/raise.js'
import { describeExitCodes } from '../types/exitCode.js'
import type { CommonOptions, FileOptions, FleetOptions, GetOptions, HistoryOptions, PublishOptions } from '../types/options.js'
import type { Surroundings } from '../types/surroundings.js'
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
const MAX_HISTORY = 100

/** What the command line asks for: a command, or a text such as the help. */
export type Request =
  | { readonly text: string }
  | { readonly run: (surroundings: Surroundings) => number | Promise<number> }

/** Reads the command line; raises `usage` where it is not valid. Runs nothing. */
export async function parseCommandLine (args: readonly string[]): Promise<Request> {
  let text = ''
  let request: Request | undefined
  const parser = createParser(chosen => {
    request = chosen
  })
  await parser.parseAsync([...args], {}, (_error, _argv, output) => {
    text = output
  })
  return request ?? { text }
}

type Choose = (request: Request) => void

function createParser (choose: Choose): Argv {
  const parser = yargs()
    .scriptName('cowsliplead')
    .usage('$0 COMMAND\n\nPublishes the policy of the fleet and reads back what is in force')
    .option('json', { type: 'boolean', default: false, describe: 'print one JSON value' })
    .example('$0 check policy.json', 'check a file without asking anyone')
    .example('$0 publish policy.json --author akinyi --store 10.0.0.5:8142', 'publish on the newest revision')
    .example('$0 get --store 10.0.0.5:8142 --daemons 10.0.0.1:9464,10.0.0.2:9464', 'show the revision of each VM')
    .epilogue(describeExitCodes())
  return addFleetCommands(addFileCommands(parser, choose), choose)
    .demandCommand(1, 1, 'no command is given', 'more than one command is given')
    .strict()
    .parserConfiguration({ 'duplicate-arguments-array': false })
    .locale('en')
    .version(readVersion())
    .exitProcess(false)
    .wrap(HELP_COLUMNS)
    .fail(raiseUsage)
}

/** yargs reports one failed check twice, the second time with the error that this function raised. */
function raiseUsage (message: string | undefined, error: Error | undefined): never {
  if (error instanceof CodedError) throw error
  return raise('usage', message ?? error?.message)
}

function addFileCommands (parser: Argv, choose: Choose): Argv {
  return parser
    .command('check FILE', 'Check a policy file', withFile, argv =>
      choose({ run: ({ terminal }) => check(argv as unknown as CommonOptions & FileOptions, terminal) }))
    .command('publish FILE', 'Publish a policy file', withPublishOptions, argv =>
      choose({ run: surroundings => publish(argv as unknown as PublishOptions, surroundings) }))
    .command('diff FILE', 'Compare a file with the newest policy', command => withFleet(withFile(command)), argv =>
      choose({ run: surroundings => diff(argv as unknown as FleetOptions & FileOptions, surroundings) }))
}

function addFleetCommands (parser: Argv, choose: Choose): Argv {
  return parser
    .command('get', 'Show which revision is in force on each VM', withGetOptions, argv =>
      choose({ run: surroundings => get(argv as unknown as GetOptions, surroundings) }))
    .command('status', 'Show the state of every daemon given', withFleet, argv =>
      choose({ run: ({ terminal }) => status(argv as unknown as FleetOptions, terminal) }))
    .command('history', 'List the newest changes', withHistoryOptions, argv =>
      choose({ run: surroundings => history(argv as unknown as HistoryOptions, surroundings) }))
    .command('dump', 'Print the complete state of one daemon', withFleet, argv =>
      choose({ run: ({ terminal }) => dump(argv as unknown as FleetOptions, terminal) }))
}

function withFile (command: Argv): Argv {
  return command.positional('FILE', { type: 'string', describe: 'policy document, JSON' })
    .middleware(argv => {
      argv.file = argv.FILE
    })
}

function withFleet (command: Argv): Argv {
  return command
    .option('store', { type: 'string', requiresArg: true, describe: 'control store, host:port' })
    .option('daemons', { type: 'string', requiresArg: true, describe: 'admin addresses, host:port, separated by commas' })
    .option('settings', { type: 'string', requiresArg: true, describe: 'JSON file with store and daemons; flags win' })
    .option('timeout-ms', { type: 'number', requiresArg: true, default: DEFAULT_TIMEOUT_MS, describe: 'time allowed for each daemon and for the store' })
    .check(({ timeoutMs }) => isCount(timeoutMs, 1) || 'accepted for --timeout-ms: a whole number from 1')
}

function withPublishOptions (command: Argv): Argv {
  return withFleet(withFile(command))
    .option('author', { type: 'string', requiresArg: true, demandOption: true, describe: 'who makes the change' })
    .option('base', { type: 'number', requiresArg: true, describe: 'revision that the change was made on; default: the newest' })
    .option('id', { type: 'string', requiresArg: true, describe: 'id of the change, for a repeat; default: a new one' })
    .check(({ base }) => base === undefined || isCount(base, 0) || 'accepted for --base: a whole number from 0')
    .check(({ author }) => isText(author, MAX_AUTHOR_LENGTH) || `accepted for --author: 1 to ${MAX_AUTHOR_LENGTH} characters`)
    .check(({ id }) => id === undefined || isText(id, MAX_ID_LENGTH) || `accepted for --id: 1 to ${MAX_ID_LENGTH} characters`)
    .example('$0 publish policy.json --author akinyi --base 41', 'fails with a conflict where revision 41 is not the newest any more')
}

function withGetOptions (command: Argv): Argv {
  return withFleet(command)
    .option('document', { type: 'boolean', default: false, describe: 'print only the newest document' })
    .example('$0 get --document > policy.json', 'start an edit from the newest document')
}

function withHistoryOptions (command: Argv): Argv {
  return withFleet(command)
    .option('limit', { type: 'number', requiresArg: true, default: 20, describe: `number of changes, up to ${MAX_HISTORY}` })
    .check(({ limit }) => (isCount(limit, 1) && limit <= MAX_HISTORY) || `accepted for --limit: a whole number from 1 to ${MAX_HISTORY}`)
}

function isCount (value: unknown, least: number): value is number {
  return Number.isSafeInteger(value) && (value as number) >= least
}

function isText (value: unknown, maxLength: number): boolean {
  return typeof value === 'string' && value.trim() !== '' && value.length <= maxLength
}

function readVersion (): string {
  return (JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }).version
}
