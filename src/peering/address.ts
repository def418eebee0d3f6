/** Addresses of other processes, as they state them themselves. */
import * as net from "node:net";

const ADDRESS = /^([\d.]+):(\d{1,5})$/;
const MAXIMUM_PORT = 65_535;

/** IP:PORT. A host name would be looked up with each use, and sockets throw for a port that is out of range. */
export function isAddress(value: unknown): value is string {
    const [, host = "", port = ""] = typeof value === "string" ? ADDRESS.exec(value) ?? [] : [];
    return net.isIPv4(host) && Number(port) > 0 && Number(port) <= MAXIMUM_PORT;
}
