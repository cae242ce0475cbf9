import { readFileSync } from 'node:fs'
import type { DecisionsOptions, Row } from '../../types/decisions.js'
import { bestBaseline, groupByCell, type MissedBound } from './checkBounds.js'
import { ORACLE_POLICY, SHIPPED_POLICY } from './policies.js'

const PACKAGE_FILE = new URL('../../../../package.json', import.meta.url)

/** The JSON report. Contains nothing that differs between runs with equal options, such as times or host names. */
export interface DecisionsReport {
  readonly bench: 'decisions'
  readonly seed: number
  readonly version: string
  /** Shell command that repeats the run. */
  readonly command: string
  readonly rows: readonly Row[]
  readonly missedBounds: readonly MissedBound[]
}

/** Creates the report, including the version and the command that reproduce its rows. */
export function createReport (options: DecisionsOptions, rows: readonly Row[], missedBounds: readonly MissedBound[]): DecisionsReport {
  const { version } = JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }
  return { bench: 'decisions', seed: options.seed, version, command: formatCommand(options), rows, missedBounds }
}

function formatCommand (options: DecisionsOptions): string {
  const parts = ['npm run bench --', `--seed ${options.seed}`]
  for (const name of options.scenarios ?? []) parts.push(`--scenario ${name}`)
  for (const name of options.shapes ?? []) parts.push(`--shape ${name}`)
  for (const name of options.policies ?? []) parts.push(`--policy ${name}`)
  if (options.entryCount !== undefined) parts.push(`--entries ${options.entryCount}`)
  if (options.quick === true) parts.push('--quick')
  return parts.join(' ')
}

/**
 * Formats the report as Markdown: the shipped policy, the best baseline and the oracle per cell, then the missed bounds
 * and all rows.
 */
export function formatMarkdown (report: DecisionsReport): string {
  return [
    '# Decisions bench',
    '',
    `Seed ${report.seed}, version ${report.version}, command \`${report.command}\`. Simulated on a fake clock; times are in ms.`,
    '',
    ...formatSummary(report.rows),
    '## Missed bounds',
    '',
    ...formatMissed(report.missedBounds),
    '',
    '## All rows',
    '',
    ...formatRows(report.rows),
    ''
  ].join('\n')
}

function formatSummary (rows: readonly Row[]): string[] {
  const lines: string[] = []
  for (const cell of groupByCell(rows).values()) {
    const shipped = cell.find(row => row.policy === SHIPPED_POLICY)
    const oracle = cell.find(row => row.policy === ORACLE_POLICY)
    const best = bestBaseline(cell)
    if (shipped === undefined || oracle === undefined || best === undefined) continue
    lines.push(formatTableRow([
      shipped.scenario, shipped.shape, formatMs(shipped.p99Ms), formatMs(best.p99Ms), formatMs(oracle.p99Ms),
      (shipped.p99Ms / oracle.p99Ms).toFixed(2), formatPercent(shipped.weightedOnTime),
      `${formatPercent(best.weightedOnTime)} (${best.policy})`, formatPercent(oracle.weightedOnTime)
    ]))
  }
  if (lines.length === 0) return []
  const titles = ['scenario', 'service', 'p99 ours', 'best baseline', 'oracle', 'ours/oracle', 'on time ours', 'best baseline', 'oracle']
  return ['## Ours, the best baseline and the oracle', '', ...formatTableHeader(titles), ...lines, '']
}

/** Formats one line per missed bound. */
export function formatMissed (missedBounds: readonly MissedBound[]): string[] {
  if (missedBounds.length === 0) return ['None.']
  return missedBounds.map(({ scenario, shape, policy, measure, measured, bound, limit }) => {
    const relation = limit === 'atMost' ? 'is above' : 'is below'
    return `- ${scenario} ${shape} ${policy}: ${measure} ${measured.toFixed(4)} ${relation} ${bound.toFixed(4)}`
  })
}

function formatRows (rows: readonly Row[]): string[] {
  const titles = [
    'scenario', 'service', 'policy', 'calls', 'p50', 'p99', 'p99.9', 'p99 lookups', 'weighted on time', 'retries + hedges',
    'probes/call', 'probe bytes/call', 'doubled runs', 'false not run'
  ]
  return [...formatTableHeader(titles), ...rows.map(formatRow)]
}

function formatRow (row: Row): string {
  return formatTableRow([
    row.scenario, row.shape, row.policy, String(row.calls), formatMs(row.p50Ms), formatMs(row.p99Ms), formatMs(row.p999Ms),
    formatMs(row.p99MsByKind['lookup'] ?? 0), formatPercent(row.weightedOnTime),
    formatPercent(row.retriesPerCall + row.hedgesPerCall), row.measuringMessagesPerCall.toFixed(3),
    row.measuringBytesPerCall.toFixed(0), String(row.doubledRuns), String(row.falseNotRun)
  ])
}

function formatTableHeader (titles: readonly string[]): string[] {
  return [formatTableRow(titles), formatTableRow(titles.map(() => '---'))]
}

function formatTableRow (cells: readonly string[]): string {
  return `| ${cells.join(' | ')} |`
}

function formatMs (value: number): string {
  return value.toFixed(1)
}

function formatPercent (share: number): string {
  return `${(100 * share).toFixed(2)}%`
}
