import type { Milliseconds } from '@cowsliplead/core/types/clock.js'
import type { DaemonStatus } from '../../types/daemonStatus.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import type { GatewayParts } from './gatewayParts.js'

/** Longest time after the start that the daemon waits for the policy document; it then serves with the defaults. */
const POLICY_WAIT_MS: Milliseconds = 3000

/** What the daemon tells load balancers and operators about itself. */
export class StatusReport {
  private readonly startedAt: Milliseconds

  private constructor (
    private readonly parts: GatewayParts,
    private readonly settings: GatewaySettings,
    private readonly isStopping: () => boolean
  ) {
    this.startedAt = parts.clock.now()
  }

  static create (parts: GatewayParts, settings: GatewaySettings, isStopping: () => boolean): StatusReport {
    return new StatusReport(parts, settings, isStopping)
  }

  /** Why the daemon is not ready; empty when it is. */
  unreadyReasons (): readonly string[] {
    if (this.isStopping()) return ['stopping']
    const { supervisor, controlState, keyConfirmation } = this.parts
    const reasons = supervisor.failingComponents().map(name => `${name} fails repeatedly`)
    reasons.push(...controlState.missing())
    reasons.push(...keyConfirmation?.missing() ?? [])
    if (this.isWaitingForPolicy()) reasons.push('the policy is not known')
    return reasons
  }

  /** Status summary for operators. */
  status (): DaemonStatus {
    const { controlState, keyConfirmation, policyState, proxy, services, supervisor } = this.parts
    const { vmId, failureDomain } = this.settings
    const reasons = [...this.unreadyReasons()]
    return {
      vmId,
      failureDomain,
      ready: reasons.length === 0,
      reasons,
      policyRevision: policyState.revision,
      configVersion: services.config?.version,
      rejectedEntries: services.config?.rejectedEntries?.map(entry => ({ ...entry })),
      evacuatedDomains: controlState.evacuations.domains(),
      storeAgeMs: controlState.storeAgeMs,
      keyAgeMs: keyConfirmation?.roundedAgeMs,
      callsInFlight: proxy.inFlight,
      components: supervisor.componentStates()
    }
  }

  /** Complete state for the dump. */
  describe (): Record<string, unknown> {
    const { controlState, fleet, handover, quotas, services } = this.parts
    return {
      ...this.status(),
      control: controlState.describe(),
      fleet: fleet.snapshot(),
      quotas: quotas.describe(),
      handover: handover?.snapshot(),
      policy: services.policyDocument,
      services: Object.fromEntries(services.forwarders().map(forwarder => [forwarder.service, forwarder.describe()]))
    }
  }

  private isWaitingForPolicy (): boolean {
    const { clock, fleetTable } = this.parts
    return clock.now() < this.startedAt + POLICY_WAIT_MS && !fleetTable.isLoaded
  }
}
