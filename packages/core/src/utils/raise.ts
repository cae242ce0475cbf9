import { RESULT_CODES, type ResultCode, type ResultCodeName } from '../types/resultCode.js'

/** An error with a numbered result code. */
export class CodedError extends Error {
  private constructor (readonly code: ResultCode, readonly detail: string) {
    super(`${code.number} ${code.name}: ${code.meaning} ${detail}`.trim())
    this.name = 'CodedError'
  }

  static create (name: ResultCodeName, detail = ''): CodedError {
    return new CodedError(RESULT_CODES[name], detail)
  }
}

/** Throws a `CodedError`; `detail` states what was found and what is accepted. */
export function raise (name: ResultCodeName, detail = ''): never {
  throw CodedError.create(name, detail)
}
