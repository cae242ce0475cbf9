import type { CallerLimits } from '@cowsliplead/core/types/routes.js'
import type { Component } from '../../types/component.js'
import type { GatewaySettings } from '../../types/gatewaySettings.js'
import type { MachineLimits } from '../../types/machineLimits.js'
import type { Proxy } from '../callers/proxy.js'
import { maxConnectionsOf } from '../overload/connectionLimit.js'
import { PeerServer, type PeerServerOptions } from '../peers/peerServer.js'
import { AdminServer } from './adminServer.js'
import { CallerServer } from './callerServer.js'
import type { GatewayHost } from './gatewayHost.js'
import { ReadinessServer } from './readinessServer.js'

/** Options of the servers. */
export interface GatewayServersOptions {
  readonly settings: GatewaySettings
  readonly machine: MachineLimits
  readonly host: GatewayHost
  readonly proxy: Proxy
  /** Handlers of other VMs' requests. */
  readonly peerHandlers: PeerServerOptions['handlers']
  /** Called with the error of another VM's request. */
  readonly onPeerError: (error: Error) => void
}

/** The servers of the daemon, each with its share of the machine's connections. */
export class GatewayServers {
  readonly callers: CallerServer
  /** Undefined if this VM takes no requests of the others. */
  readonly peers: PeerServer | undefined
  readonly readiness: ReadinessServer
  readonly admin: AdminServer

  private constructor ({ settings, machine, host, proxy, peerHandlers, onPeerError }: GatewayServersOptions) {
    const { publicAddress, peerAddress, readinessAddress, readinessPath, adminAddress } = settings
    this.callers = CallerServer.create({ address: publicAddress, maxConnections: maxConnectionsOf(machine, 'callers'), proxy })
    this.peers = peerAddress === undefined
      ? undefined
      : PeerServer.create({ address: peerAddress, maxConnections: maxConnectionsOf(machine, 'vms'), handlers: peerHandlers, onError: onPeerError })
    this.readiness = ReadinessServer.create({
      address: readinessAddress, maxConnections: maxConnectionsOf(machine, 'readiness'), path: readinessPath, unreadyReasons: () => host.unreadyReasons()
    })
    this.admin = AdminServer.create({
      address: adminAddress, maxConnections: maxConnectionsOf(machine, 'operators'), metrics: host.metrics, status: () => host.status(), dump: () => host.describe()
    })
  }

  static create (options: GatewayServersOptions): GatewayServers {
    return new GatewayServers(options)
  }

  /** Those for callers and operators, in the order in which they start. */
  get outer (): readonly Component[] {
    return [this.callers, this.readiness, this.admin]
  }

  /** Applies the limits of a new configuration. */
  applyLimits (limits: CallerLimits): void {
    this.callers.applyLimits(limits)
    this.peers?.applyLimits(limits)
  }
}
