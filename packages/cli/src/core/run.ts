import { CodedError } from '@cowsliplead/core/utils/raise.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { exitCodeOf } from '../types/exitCode.js'
import type { CommandContext } from '../types/commandContext.js'
import { parseCommandLine } from './commandLine.js'

/** Runs one command line and returns the exit code. A failure prints one line to standard error: `NUMBER NAME: DETAIL`. */
export async function run (args: readonly string[], context: CommandContext): Promise<number> {
  const { terminal } = context
  try {
    const parsed = await parseCommandLine(args)
    if ('run' in parsed) return await parsed.run(context)
    terminal.out(parsed.text)
    return 0
  } catch (error) {
    const codedError = error instanceof CodedError ? error : CodedError.create('internal', String(error))
    terminal.err(codedError.message.replaceAll(/\s+/g, ' '))
    return exitCodeOf(codedError.code.name as ResultCodeName)
  }
}
