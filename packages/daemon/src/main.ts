import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { CodedError } from '@cowsliplead/core/utils/raise.js'
import { Daemon } from './core/daemon.js'
import { HttpLog } from './core/control/httpLog.js'
import { HttpVmList } from './core/control/httpVmList.js'
import { createJournal } from './core/operators/journal.js'
import type { Platform } from './types/platform.js'
import type { Settings } from './types/settings.js'
import { readSettings } from './core/settingsFile.js'

const USAGE_EXIT_CODE = 2

/** The platform's services over HTTP. */
function connectPlatform ({ platformUrl, vmId, limits }: Settings): Platform {
  const endpoint = { url: platformUrl.replace(/\/$/, ''), clientId: vmId, timeoutMs: limits.platformTimeoutMs }
  return { log: HttpLog.create(endpoint), vmList: HttpVmList.create(endpoint) }
}

/** The first signal stops gracefully; a second one ends the process at once. */
function stopOnSignals (daemon: Daemon): void {
  let isStopping = false
  const onSignal = async (): Promise<void> => {
    if (isStopping) process.exit(1)
    isStopping = true
    const interrupted = await daemon.stop()
    process.exit(interrupted === 0 ? 0 : 1)
  }
  process.on('SIGTERM', () => void onSignal())
  process.on('SIGINT', () => void onSignal())
}

const args = await yargs(hideBin(process.argv))
  .scriptName('cowslipleadd')
  .usage('$0 --settings FILE\n\nRuns the daemon of one entry VM')
  .option('settings', { type: 'string', demandOption: true, describe: 'JSON file with the settings of this VM' })
  .strict()
  .parseAsync()

try {
  const settings = readSettings(args.settings)
  const daemon = Daemon.create(settings, connectPlatform(settings), createJournal(settings.vmId))
  stopOnSignals(daemon)
  await daemon.start()
} catch (error) {
  if (!(error instanceof CodedError)) throw error
  console.error(error.message)
  process.exitCode = USAGE_EXIT_CODE
}
