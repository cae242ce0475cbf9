import { Gauge } from 'prom-client'
import type { ServiceForwarder } from '../upstreams/serviceForwarder.js'

/** Creates the gauge of the calls in the wait queues, by service and route; routes without any are left out. */
export function createQueuedByRouteGauge (forwarders: () => readonly ServiceForwarder[]): Gauge<'service' | 'route'> {
  return new Gauge({
    name: 'cowsliplead_queued_calls_by_route',
    help: 'Calls in the wait queue, by route',
    labelNames: ['service', 'route'],
    registers: [],
    collect () {
      this.reset()
      for (const { service, dispatcher } of forwarders()) {
        for (const [route, calls] of Object.entries(dispatcher.snapshot().queuedByKind)) this.set({ service, route }, calls)
      }
    }
  })
}
