// Installs the locked packages when node_modules does not match the lock file, then builds.
import { execFileSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const LOCK_FILE = 'package-lock.json'
const INSTALLED_MARKER = 'node_modules/.package-lock.json'

function isInstalled () {
  if (!existsSync(INSTALLED_MARKER)) return false
  return statSync(INSTALLED_MARKER).mtimeMs >= statSync(LOCK_FILE).mtimeMs
}

function run (command, args) {
  execFileSync(command, args, { stdio: 'inherit' })
}

if (!isInstalled()) run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error'])
run('node', ['node_modules/typescript/bin/tsc', '-b'])
