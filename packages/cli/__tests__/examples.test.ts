import { readdirSync, readFileSync } from 'node:fs'
import { expect } from 'chai'
import { z } from 'zod'
import { policyDocumentSchema } from '@cowsliplead/core/types/policyDocument.js'
import { CLIENT_SETTINGS } from '../src/types/clientSettings.js'

const EXAMPLES = new URL('../../../../examples/', import.meta.url)

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  'policy.json': policyDocumentSchema,
  'client.json': CLIENT_SETTINGS
}

const FILES = readdirSync(EXAMPLES, { recursive: true, encoding: 'utf8' }).filter(name => name.endsWith('.json')).sort()

function read (file: string): unknown {
  return JSON.parse(readFileSync(new URL(file, EXAMPLES), 'utf8'))
}

describe('examples', () => {
  // Guards against a user for whom an example file is missing, and against a file that no schema checks.
  it('include every kind of file for both users', () => {
    const users = ['szotarhaz', 'taa-angani']
    expect(FILES).to.deep.equal(users.flatMap(user => Object.keys(SCHEMAS).sort().map(name => `${user}/${name}`)))
  })

  for (const file of FILES) {
    // Guards against examples that become invalid when a schema changes.
    it(`${file} passes its schema`, () => {
      const schema = SCHEMAS[file.split('/')[1] ?? '']
      const parsed = schema?.safeParse(read(file))
      expect(parsed?.error && z.prettifyError(parsed.error)).to.equal(undefined)
      expect(parsed?.success).to.equal(true)
    })
  }

  for (const file of FILES.filter(name => name.endsWith('policy.json'))) {
    // Guards against a policy example that does not show an exception with its reason.
    it(`${file} sets a default and has one exception`, () => {
      const document = policyDocumentSchema.parse(read(file))
      expect(Object.keys(document.defaults.routing)).to.not.have.length(0)
      expect(document.exceptions).to.have.length(1)
    })
  }
})
