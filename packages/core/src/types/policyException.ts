import { z } from 'zod'
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

/** One exception to the defaults, with its written reason. */
export const exceptionSchema = z.strictObject({
  scope: scopeSchema,
  settings: z.strictObject({ routing: routingSettingsSchema }),
  reason: z.string().trim().min(1, 'accepted: a written reason, not empty')
})

/** One exception to the defaults. */
export type PolicyException = z.infer<typeof exceptionSchema>
/** Settings that override defaults. */
export type RoutingSettings = z.infer<typeof routingSettingsSchema>
