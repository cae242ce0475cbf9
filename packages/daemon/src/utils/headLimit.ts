import type { Server } from 'node:http'

/**
 * Sets how much of a request's head is read on connections from now on. Node takes the limit when a server is created and has no
 * method to change it; it looks at this property for each connection.
 */
export function setHeadLimit (server: Server, bytes: number): void {
  (server as Server & { maxHeaderSize: number }).maxHeaderSize = bytes
}
