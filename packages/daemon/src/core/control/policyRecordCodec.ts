import { policyRecordSchema, type PolicyRecord } from '@cowsliplead/core/core/configuration/policyRecord.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'

/** Key of the policy record in the fleet table. */
export const POLICY_KEY = 'policy'

/** Decodes a stored policy record; undefined if it cannot be read. */
export function decodePolicyRecord (value: Buffer): PolicyRecord | undefined {
  return policyRecordSchema.safeParse(parseJson(value.toString('utf8'))).data
}

/** Encodes a policy record for the store. */
export function encodePolicyRecord (record: PolicyRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}
