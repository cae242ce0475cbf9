import { z } from 'zod'
import { findPolicyProblems } from '../utils/policyProblems.js'
import { DEFAULT_ROUTING_POLICY, type RoutingPolicy } from './routingPolicy.js'

const NAME = z.string().min(1).max(128)

const ROUTING_SETTING_NAMES = Object.keys(DEFAULT_ROUTING_POLICY) as Array<keyof RoutingPolicy>

/** Settings of the routing policy; omitted ones keep their defaults. */
export const routingSettingsSchema = z.partialRecord(z.enum(ROUTING_SETTING_NAMES), z.number().nonnegative())

/** Where an exception applies: a service, a kind of request in all services, a kind of one service, or one upstream. */
export const scopeSchema = z.strictObject({
  service: NAME.optional(),
  /** Name of a route. */
  kind: NAME.optional(),
  upstream: NAME.optional()
}).refine(
  scope => scope.upstream === undefined
    ? scope.service !== undefined || scope.kind !== undefined
    : scope.service === undefined && scope.kind === undefined,
  'accepted: service, kind, service and kind, or upstream alone'
)

const exceptionSchema = z.strictObject({
  scope: scopeSchema,
  settings: z.strictObject({ routing: routingSettingsSchema }),
  reason: z.string().trim().min(1, 'accepted: a written reason, not empty')
})

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
/** One exception to the defaults. */
export type PolicyException = PolicyDocument['exceptions'][number]
/** Settings that override defaults. */
export type RoutingSettings = z.infer<typeof routingSettingsSchema>

/** Describes the problems of a document, one line each: the path, and what is wrong or accepted there. */
export function describeIssues (error: z.ZodError): string[] {
  return error.issues.map(issue => `${issue.path.length === 0 ? 'document' : issue.path.join('.')}: ${issue.message}`)
}
