// Runs the bundled daemon from the code cache that the build wrote: compiling would take a third of the startup time.
const { existsSync, readFileSync } = require('node:fs')
const { join } = require('node:path')
const { Script } = require('node:vm')

// Without a handler, SIGHUP ends the process. The daemon installs its own one before it first waits, and reads the settings then.
if (require.main === module) process.on('SIGHUP', () => {})

const BUNDLE = join(__dirname, 'bundle.cjs')
const CACHE = join(__dirname, 'bundle.cache')

/** Wraps the bundle as Node wraps a CommonJS module. A code cache of another Node version or bundle is rejected and not used. */
function compile () {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(BUNDLE, 'utf8')}\n})`
  return new Script(source, { filename: BUNDLE, cachedData: existsSync(CACHE) ? readFileSync(CACHE) : undefined })
}

function run (script) {
  script.runInThisContext()(module.exports, require, module, BUNDLE, __dirname)
}

module.exports = { CACHE, compile, run }

if (require.main === module) run(compile())
