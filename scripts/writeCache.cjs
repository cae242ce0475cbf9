// Writes the code cache of the bundled daemon: `node writeCache.cjs`, run in target/ at the end of a build.
const { writeFileSync } = require('node:fs')
const { CACHE, compile, run } = require('./cowslipleadd.cjs')

const script = compile()
// Without settings, the daemon exits with an error after its modules are loaded, which compiles the code that a start needs.
run(script)
writeFileSync(CACHE, script.createCachedData())
process.once('exit', () => {
  process.exitCode = 0
})
