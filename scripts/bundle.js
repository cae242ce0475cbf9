// Bundles the daemon for the users' platform into target/: one file loads several times faster than its modules.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/cowslipleadd.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  tsconfig: 'tsconfig.bundle.json',
  // Packages written for CommonJS call `require`, which modules do not have.
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);" },
  logLevel: 'warning'
})
