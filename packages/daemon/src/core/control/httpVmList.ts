import { Result } from 'true-myth/result'
import type { PlatformUnavailable, VmList, VmListing } from '../../types/platform.js'
import { VM_LISTING } from '../../types/platformSchema.js'
import { exchange, type PlatformEndpoint } from './httpExchange.js'

/** The platform's VM list over HTTP. */
export class HttpVmList implements VmList {
  private constructor (private readonly endpoint: PlatformEndpoint) {}

  static create (endpoint: PlatformEndpoint): HttpVmList {
    return new HttpVmList(endpoint)
  }

  async read (): Promise<Result<VmListing, PlatformUnavailable>> {
    const response = await exchange(this.endpoint, {
      method: 'GET',
      path: '/vms',
      timeoutMs: this.endpoint.timeoutMs
    })
    if (response.isErr) return Result.err({ kind: 'unavailable', detail: response.error.detail })
    const listing = VM_LISTING.safeParse(response.value.body)
    if (response.value.status === 200 && listing.success) return Result.ok(listing.data)
    return Result.err({ kind: 'unavailable', detail: `status ${response.value.status}` })
  }
}
