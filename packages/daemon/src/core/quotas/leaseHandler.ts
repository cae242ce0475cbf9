import type { IncomingMessage, ServerResponse } from 'node:http'
import type { LeaseAnswer, LeaseRequest } from '@cowsliplead/core/types/quota.js'
import { parseJson } from '@cowsliplead/core/utils/parseJson.js'
import type { PeerHandler } from '../peers/peerServer.js'
import { BodyBuffer } from '../../utils/bodyBuffer.js'
import { LEASE_MESSAGE, MAX_MESSAGE_BYTES } from './leaseMessages.js'

/** Handles other VMs' requests for tokens: 400 for a message that cannot be read, 413 for one that is too large. */
export function createLeaseHandler (grant: (request: LeaseRequest) => LeaseAnswer, onError: (error: Error) => void): PeerHandler {
  return (request, response) => {
    readText(request, response, text => {
      try {
        answer(text, response, grant)
      } catch (error) {
        onError(error as Error)
        response.destroy()
      }
    })
  }
}

function answer (text: string, response: ServerResponse, grant: (request: LeaseRequest) => LeaseAnswer): void {
  const message = LEASE_MESSAGE.safeParse(parseJson(text)).data
  if (message === undefined) return void response.writeHead(400).end()
  const { vmId, leases } = message
  const answers = leases.map(lease => grant({ ...lease, vmId }))
  const body = JSON.stringify({ answers })
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}

function readText (request: IncomingMessage, response: ServerResponse, onText: (text: string) => void): void {
  const body = BodyBuffer.create()
  let size = 0
  request.on('error', () => response.destroy())
  request.on('data', (chunk: Buffer) => {
    size += chunk.length
    if (size <= MAX_MESSAGE_BYTES) return body.append(chunk)
    if (!response.headersSent) response.writeHead(413, { connection: 'close' }).end()
  })
  request.on('end', () => {
    if (size <= MAX_MESSAGE_BYTES) onText(String(body.take()[0] ?? ''))
  })
}
