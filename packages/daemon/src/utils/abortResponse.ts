import type { ServerResponse } from 'node:http'

/** Closes a caller's connection in the middle of a response, so that the part that was sent does not look complete. */
export function abortResponse (response: ServerResponse): void {
  const { socket } = response
  if (socket !== null && isEndedByClose(response)) socket.resetAndDestroy()
  else response.destroy()
}

/** Whether the close of the connection may end the body: for callers of HTTP/1.0, and where the upstream's body ends so. */
function isEndedByClose (response: ServerResponse): boolean {
  return !response.useChunkedEncodingByDefault
}
