import { expect } from 'chai'
import { RouteTable } from '../src/core/routing/routeTable.js'
import { requestKindOf } from '../src/core/routing/requestKinds.js'
import type { Route, RouteConfig } from '../src/types/routes.js'

const ROUTE: Route = {
  name: 'r', host: 'one.example', pathPrefix: '/', kind: 'safe', timeoutMs: 1000, targetMs: 300, priority: 2, maxAttempts: 2,
  shares: [{ service: 'permits', weight: 1 }]
}

function createConfig (routes: Array<Partial<Route>>, version = 1): RouteConfig {
  return {
    version,
    routes: routes.map(route => ({ ...ROUTE, ...route })),
    services: new Map(),
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

function countServices (table: RouteTable, requests: number): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let i = 0; i < requests; i++) {
    const service = table.match('one.example', '/')?.service as string
    counts[service] = (counts[service] ?? 0) + 1
  }
  return counts
}

describe('route table', () => {
  const table = RouteTable.create(createConfig([
    { name: 'root' }, { name: 'a', pathPrefix: '/a/' }, { name: 'ab', pathPrefix: '/a/b/' }, { name: 'other', host: 'two.example', pathPrefix: '/a/' }
  ]))
  const matches: Array<[string, string, string | undefined]> = [
    ['one.example', '/a/b/c', 'ab'], ['one.example', '/a/c', 'a'], ['one.example', '/a', 'root'], ['ONE.example:80', '/a/?x=/a/b/', 'a'],
    ['two.example', '/a/b/', 'other'], ['two.example', '/', undefined], ['three.example', '/a/', undefined]
  ]
  for (const [host, target, name] of matches) {
    it(`sends ${host} ${target} to ${name ?? 'no route'}`, () => {
      expect(table.match(host, target)?.route.name).to.equal(name)
    })
  }
})

describe('traffic split', () => {
  const shares = [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }]

  it('follows the weights within a few requests', () => {
    expect(countServices(RouteTable.create(createConfig([{ shares }])), 20)).to.deep.equal({ old: 18, new: 2 })
  })

  // Guards against a split that restarts with each configuration version and so never reaches the small share.
  it('keeps its position when a new version does not change it', () => {
    let table = RouteTable.create(createConfig([{ shares }]))
    const counts: Record<string, number> = {}
    for (let version = 2; version <= 11; version++) {
      for (const [service, count] of Object.entries(countServices(table, 2))) counts[service] = (counts[service] ?? 0) + count
      table = RouteTable.create(createConfig([{ shares }], version), table)
    }
    expect(counts).to.deep.equal({ old: 18, new: 2 })
  })
})

describe('request kinds of routes', () => {
  // Guards against a non-idempotent route whose requests run twice.
  it('are idempotent and hedgeable for safe and download routes only', () => {
    const kinds = (['safe', 'download', 'unsafe'] as const).map(kind => requestKindOf({ ...ROUTE, kind }))
    expect(kinds.map(({ idempotent, hedgeable }) => [idempotent, hedgeable])).to.deep.equal([[true, true], [true, true], [false, false]])
  })

  it('give a more urgent route a higher weight', () => {
    expect(requestKindOf({ ...ROUTE, priority: 1 }).weight).to.be.greaterThan(requestKindOf({ ...ROUTE, priority: 2 }).weight)
  })
})
