import type { CapacityReport, Measurement } from '../../types/capacity.js'

/** Formats the report as a Markdown table. */
export function formatCapacity (report: CapacityReport): string {
  return [
    `Command: \`${report.command}\`, Node.js ${report.node}, median of ${report.rounds} rounds.`,
    '',
    '| Measured | Unit | Sizes | Values | Intercept | Slope | Largest deviation |',
    '|---|---|---|---|---|---|---|',
    ...report.measurements.map(formatMeasurement)
  ].join('\n')
}

function formatMeasurement ({ name, unit, sizeOf, points, line }: Measurement): string {
  const cells = [
    name,
    unit,
    `${points.map(({ size }) => size).join(', ')} ${sizeOf}`,
    points.map(({ value }) => formatNumber(value)).join(', '),
    formatNumber(line.intercept),
    formatNumber(line.slope),
    formatNumber(line.largestDeviation)
  ]
  return `| ${cells.join(' | ')} |`
}

function formatNumber (value: number): string {
  if (Math.abs(value) >= 1000) return Math.round(value).toLocaleString('en-US')
  return Number(value.toPrecision(3)).toString()
}
