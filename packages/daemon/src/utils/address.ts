/** Splits `host:port`, with IPv6 hosts in brackets. */
export function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const at = address.lastIndexOf(':')
  const host = address.slice(0, at).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(at + 1)) }
}
