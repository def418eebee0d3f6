/** Turns the error of an RPC into a typed failure. */
import * as connect from "@connectrpc/connect";
import type * as failures from "../core/failure.js";

/** System codes of errors that happen before any byte of the request is sent. */
const NOT_CONNECTED: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "EADDRNOTAVAIL"]);

/**
 * Returns `peer-unreachable` only when the connection was never established, which proves that the request was not
 * sent; `deadline-exceeded` when the time ran out; and `peer-connection-lost` for everything else.
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
