import { RESULT_CODES, type ResultCodeName } from '@cowsliplead/core/types/resultCode.js'

/** One exit code of the client. */
export interface ExitCode {
  readonly number: number
  readonly meaning: string
  /** Errors that end the client with this code. */
  readonly errors: readonly ResultCodeName[]
}

/** Exit codes. Scripts rely on them, so the meaning of a number never changes. docs/CLIENT.md lists the same rows. */
export const EXIT_CODES: readonly ExitCode[] = [
  { number: 0, meaning: 'The command succeeded.', errors: ['ok'] },
  { number: 1, meaning: '`diff` found differences; no error.', errors: [] },
  { number: 2, meaning: 'The command line or a file is not valid; nothing was changed.', errors: ['usage', 'fileUnreadable', 'notJson', 'settingsInvalid', 'configInvalid'] },
  { number: 3, meaning: 'Another change was made on the same revision; nothing was changed.', errors: ['configConflict'] },
  { number: 4, meaning: 'It is not known whether the change was made; repeat with the same id.', errors: ['publishUnconfirmed'] },
  { number: 5, meaning: 'A service that is needed cannot be reached; nothing was changed.', errors: ['daemonUnreachable', 'storeUnavailable', 'notReady'] },
  { number: 6, meaning: 'At least one VM lags behind the newest revision.', errors: ['vmLagging'] }
]

/** Exit code of `diff` when it found differences. */
export const EXIT_DIFFERENCES = 1

/** Exit code of errors that are not listed above. */
export const EXIT_INTERNAL = 70

/** Returns the exit code of an error. */
export function exitCodeOf (name: ResultCodeName): number {
  return EXIT_CODES.find(code => code.errors.includes(name))?.number ?? EXIT_INTERNAL
}

/** Formats the exit codes for the help text, one line each. */
export function describeExitCodes (): string {
  const lines = EXIT_CODES.map(({ number, meaning, errors }) => {
    const numbers = errors.map(name => RESULT_CODES[name].number).filter(value => value > 0).sort((a, b) => a - b)
    const suffix = numbers.length === 0 ? '' : ` Errors: ${numbers.join(', ')}.`
    return `  ${number}   ${meaning}${suffix}`
  })
  return ['Exit codes:', ...lines, `  ${EXIT_INTERNAL}  Any other error.`].join('\n')
}
