import { CodedError } from '@cowsliplead/core/utils/raise.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import { exitCodeOf } from '../types/exitCode.js'
import type { Surroundings } from '../types/surroundings.js'
import { parseCommandLine } from './commandLine.js'

/** Runs one command line and returns the exit code. Every failure is one numbered line on standard error. */
export async function run (args: readonly string[], surroundings: Surroundings): Promise<number> {
  const { terminal } = surroundings
  try {
    const request = await parseCommandLine(args)
    if ('run' in request) return await request.run(surroundings)
    terminal.out(request.text)
    return 0
  } catch (error) {
    const coded = error instanceof CodedError ? error : CodedError.create('internal', String(error))
    terminal.err(coded.message.replaceAll(/\s+/g, ' '))
    return exitCodeOf(coded.code.name as ResultCodeName)
  }
}
