import type { GatewaySettings } from '../../types/gatewaySettings.js'
import type { GatewayServices } from './gatewayServices.js'
import { routingPolicyOf } from './routingDefaults.js'

/** Assumed number of entry VMs until the others are known: this one. */
export const INITIAL_FLEET_SIZE = 1

/** Keeps this VM's share of the fleet's budgets in force: it depends on the settings and on the number of entry VMs. */
export class FleetPolicy {
  private fleetSize = INITIAL_FLEET_SIZE

  private constructor (private settings: GatewaySettings, private readonly services: GatewayServices) {}

  static create (settings: GatewaySettings, services: GatewayServices): FleetPolicy {
    return new FleetPolicy(settings, services)
  }

  /** Applies the settings that may change while the daemon runs: the routing policy and the retry budget. */
  reload ({ routing, retryBudget }: GatewaySettings): void {
    this.settings = { ...this.settings, routing, retryBudget }
    this.apply()
  }

  onFleetSizeChange (vms: number): void {
    if (vms === this.fleetSize) return
    this.fleetSize = vms
    this.apply()
  }

  private apply (): void {
    this.services.setPolicy(routingPolicyOf(this.settings, this.fleetSize), this.fleetSize)
  }
}
