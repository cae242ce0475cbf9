import { z } from 'zod'
import { raise } from '@cowsliplead/core/utils/raise.js'
import { ADDRESS, CLIENT_SETTINGS, type ClientSettings } from '../types/clientSettings.js'
import type { FleetOptions } from '../types/options.js'
import { readJsonFile } from '../utils/readFiles.js'

/** The address of the control store from the flag or else the settings file; raises `usage` or `settingsInvalid`. */
export function resolveStore (options: FleetOptions): string {
  const settings = readSettings(options.settings)
  const address = options.store === undefined ? settings.store : parseAddresses('--store', options.store)[0]
  if (address === undefined) raise('usage', 'no store is given; accepted: --store host:port or a settings file with store')
  return address
}

/** The daemons' admin addresses from the flag or else the settings file; raises `usage` or `settingsInvalid`. */
export function resolveDaemons (options: FleetOptions): readonly string[] {
  const settings = readSettings(options.settings)
  const daemons = options.daemons === undefined ? settings.daemons : parseAddresses('--daemons', options.daemons)
  if (daemons === undefined) raise('usage', 'no daemons are given; accepted: --daemons host:port,host:port or a settings file with daemons')
  return daemons
}

function readSettings (file: string | undefined): ClientSettings {
  if (file === undefined) return {}
  const parsed = CLIENT_SETTINGS.safeParse(readJsonFile(file))
  if (!parsed.success) raise('settingsInvalid', `${file}: ${formatIssues(parsed.error)}`)
  return parsed.data
}

function parseAddresses (option: string, list: string): string[] {
  const parsed = z.array(ADDRESS).safeParse(list.split(',').map(address => address.trim()))
  if (!parsed.success) raise('usage', `${option} ${list}: ${formatIssues(parsed.error)}`)
  return parsed.data
}

function formatIssues (error: z.ZodError): string {
  return error.issues.map(({ path, message }) => path.length === 0 ? message : `${path.join('.')}: ${message}`).join('; ')
}
