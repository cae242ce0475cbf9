import { z } from 'zod'
import { findPolicyProblems } from '../utils/policyProblems.js'
import { exceptionSchema, routingSettingsSchema } from './policyException.js'

/** The operators' settings for the whole fleet: one set of defaults and a list of exceptions. */
export const policyDocumentSchema = z.strictObject({
  defaults: z.strictObject({ routing: routingSettingsSchema.default({}) }).prefault({}),
  exceptions: z.array(exceptionSchema).default([])
}).check(context => {
  for (const problem of findPolicyProblems(context.value)) {
    context.issues.push({ code: 'custom', input: context.value, path: [...problem.path], message: problem.message })
  }
})

/** A valid policy document with defaults filled in. */
export type PolicyDocument = z.infer<typeof policyDocumentSchema>

/** Describes the problems of a document, one line each: the path, and what is wrong or accepted there. */
export function describeIssues (error: z.ZodError): string[] {
  return error.issues.map(issue => `${issue.path.length === 0 ? 'document' : issue.path.join('.')}: ${issue.message}`)
}
