import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { CustomerDirectory } from '@cowsliplead/core/core/customers/customerDirectory.js'
import type { Customer } from '@cowsliplead/core/types/customer.js'
import type { ResultCodeName } from '@cowsliplead/core/types/resultCode.js'
import type { Route, RouteConfig } from '@cowsliplead/core/types/routes.js'
import type { ConfigurationAge } from './configurationAge.js'
import type { Dialect } from '../../types/dialect.js'

/**
 * A `.` or `..` as a segment of a path, also percent-encoded (RFC 3986 section 5.2.4). Upstreams may resolve it, so that the
 * path of a public route leads to a resource that needs a key.
 */
const DOT_SEGMENT = /^[^?]*(\/|%2f)(\.|%2e){1,2}([/?#]|%2f|$)/i

/** Identifies the customer of each request by its key, where the configuration has customers. */
export class Authenticator {
  /** Requests since the start that were refused for their key, by result code. */
  readonly refusals = new Map<ResultCodeName, number>()
  private directory: CustomerDirectory | undefined

  private constructor (private readonly dialect: Pick<Dialect, 'credential'>, private readonly age: ConfigurationAge | undefined) {}

  /** Without `age`, the last known keys are accepted. */
  static create (dialect: Pick<Dialect, 'credential'>, age?: ConfigurationAge): Authenticator {
    return new Authenticator(dialect, age)
  }

  /** Whether the configuration has customers; requests then carry keys, which must not reach upstreams. */
  get isActive (): boolean {
    return this.directory !== undefined
  }

  /** Applies the customers of a new configuration. */
  setConfig (config: RouteConfig): void {
    this.age?.onConfig(config.version)
    this.directory = CustomerDirectory.create(config)
  }

  /** The customer of a request to `route`, undefined if it needs none, or the result code with which it is refused. */
  identify ({ headers, url = '' }: Pick<IncomingMessage, 'headers' | 'url'>, route: Route): Customer | ResultCodeName | undefined {
    if (this.directory === undefined || (route.isPublic === true && !DOT_SEGMENT.test(url))) return undefined
    const outcome = this.findCustomer(this.directory, headers)
    if (typeof outcome === 'string') this.refusals.set(outcome, (this.refusals.get(outcome) ?? 0) + 1)
    return outcome
  }

  private findCustomer (directory: CustomerDirectory, headers: IncomingHttpHeaders): Customer | ResultCodeName {
    if (this.age?.isConfirmed() === false) return 'keysUnconfirmed'
    const key = this.dialect.credential(headers)
    const owner = key === undefined ? undefined : directory.find(key)
    if (owner === undefined) return 'unknownKey'
    return owner === 'unusable' ? 'routeUnavailable' : owner
  }
}
