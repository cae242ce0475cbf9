// Mocha reporter: the spec report, followed by one plain line of totals that CI can parse.
const { reporters, Runner } = require('mocha')

module.exports = class TotalsReporter extends reporters.Spec {
  constructor (runner, options) {
    super(runner, options)
    runner.once(Runner.constants.EVENT_RUN_END, () => {
      const { passes, failures, pending } = this.stats
      console.log(`${passes} passed, ${failures} failed, ${pending} skipped`)
    })
  }
}
