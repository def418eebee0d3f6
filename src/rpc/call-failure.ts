/** Converts an RPC error to a typed failure. */
import * as connect from "@connectrpc/connect";
import type * as failures from "../core/failure.js";

/** System error codes of failed connection attempts, after which no byte of the request was sent. */
const NOT_CONNECTED: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/**
 * Returns `peer-unreachable` only if the connection was never established, which proves that the request was not sent;
 * `deadline-exceeded` if the deadline of the call passed; and `peer-connection-lost` for all other errors.
 */
export function failureOf(error: unknown, address: string): failures.Failure {
    const rpcError = connect.ConnectError.from(error);
    const cause = rpcError.cause as { readonly code?: string; } | undefined;
    const detail = `${address}: ${rpcError.rawMessage}`;
    if (NOT_CONNECTED.has(cause?.code ?? "")) {
        return { kind: "peer-unreachable", detail };
    }
    return {
        kind: rpcError.code === connect.Code.DeadlineExceeded ? "deadline-exceeded" : "peer-connection-lost",
        detail,
    };
}
