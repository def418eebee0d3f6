/** Addresses of other processes, as they state them themselves. */

const ADDRESS = /^\d+\.\d+\.\d+\.\d+:(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** IP:PORT. A host name would be looked up with each heartbeat that is sent there. */
export function isAddress(value: unknown): value is string {
    const port = typeof value === "string" ? ADDRESS.exec(value)?.[1] : undefined;
    return port !== undefined && Number(port) > 0 && Number(port) <= MAXIMUM_PORT;
}
