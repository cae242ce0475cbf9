// Bundles the daemon for the users' platform: `node scripts/bundle.js [DIRECTORY]`, by default into target/.
// A single file loads several times faster than separate modules.
import { execFileSync } from 'node:child_process'
import { copyFileSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const CACHE_TIMEOUT_MS = 60_000

/** Must equal the flags in deploy/system.toml: Node rejects a code cache that was written under other flags. */
const NODE_FLAGS = ['--max-old-space-size=256']

const directory = process.argv[2] ?? 'target'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: join(directory, 'bundle.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  tsconfig: 'tsconfig.bundle.json',
  logLevel: 'warning'
})
rmSync(join(directory, 'bundle.cache'), { force: true })
copyFileSync('scripts/loader.cjs', join(directory, 'cowslipleadd.cjs'))
copyFileSync('scripts/writeCache.cjs', join(directory, 'writeCache.cjs'))

try {
  execFileSync(process.execPath, [...NODE_FLAGS, join(directory, 'writeCache.cjs')], { stdio: 'ignore', timeout: CACHE_TIMEOUT_MS })
} catch (error) {
  // The daemon also starts without the code cache, but more slowly.
  console.warn(`code cache not written: ${error.message}`)
}
