/** What the descriptors of a process are used for. */

/** Descriptors that the limit reserves for files. */
const RESERVED_FOR_FILES = 200;
/** Part of the sockets that callers may take; the rest is for backend servers, the store, peers and checks. */
const CALLER_SHARE = 0.6;
const MINIMUM_CALLER_CONNECTIONS = 4;

/** Connections that callers may have open in a process with that many descriptors; `Infinity` without a limit. */
export function maximumCallerConnections(descriptorLimit: number | undefined): number {
    if (descriptorLimit === undefined) {
        return Infinity;
    }
    const sockets = descriptorLimit - RESERVED_FOR_FILES;
    return Math.max(MINIMUM_CALLER_CONNECTIONS, Math.floor(sockets * CALLER_SHARE));
}
