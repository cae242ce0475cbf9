import type { ExperimentOptions, ExperimentResult } from '../../types/experiments.js'

const MAX_SHOWN_VIOLATIONS = 5

/** Whether every check held. */
export function hasPassed ({ checks }: ExperimentResult): boolean {
  return checks.every(({ violations }) => violations.length === 0)
}

/** Formats the measurements, checks and verdict as text. */
export function formatResult (name: string, { seed }: ExperimentOptions, result: ExperimentResult): string {
  const lines = [`Experiment ${name}, seed ${seed}`, '']
  for (const measurement of result.measurements) lines.push(`  ${measurement.name}: ${measurement.value}`)
  lines.push('')
  for (const { name: check, examined, violations } of result.checks) {
    lines.push(`  ${violations.length === 0 ? 'holds' : 'VIOLATED'}: ${check} (${examined} examined, ${violations.length} violations)`)
    for (const violation of violations.slice(0, MAX_SHOWN_VIOLATIONS)) lines.push(`    ${violation}`)
  }
  lines.push('', `Verdict: ${hasPassed(result) ? 'pass' : 'FAIL'}`)
  return lines.join('\n')
}
