// Writes the compiled code of the bundled daemon: `node writeCache.cjs`, run in target/ at the end of a build.
const { writeFileSync } = require('node:fs')
const { CACHE, compile, run } = require('./cowslipleadd.cjs')

const script = compile()
// Without settings the daemon ends with an error after its modules are loaded, which compiles what a start needs.
run(script)
writeFileSync(CACHE, script.createCachedData())
process.once('exit', () => {
  process.exitCode = 0
})
