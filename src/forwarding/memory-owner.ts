/** Who shares the memory of an entry: customers, and the callers of open routes by their address. */
import type * as http from "node:http";
import type * as fleet from "../fleet/types.js";

export function memoryOwner(customer: fleet.Customer | undefined, request: http.IncomingMessage): string {
    return customer === undefined ? `caller ${request.socket.remoteAddress ?? ""}` : `customer ${customer.name}`;
}
