/** Checks a call against the configuration: on its head before its body is read, and for its charge with the body. */
import type * as http from "node:http";
import type * as failure from "../core/failure.js";
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import * as homeRegions from "../placement/homes.js";
import * as callFingerprints from "./call-fingerprints.js";
import * as callPlacements from "./call-placement.js";
import * as callSyntax from "./call-syntax.js";
import * as promptCacheAccess from "./prompt-cache-access.js";
import type * as types from "./types.js";

const RETRY_AFTER_STARTUP_MS = 500;
export const RETRY_AFTER_CLOSING_MS = 50;
/** Deadline in milliseconds of a call without a deadline; the timeout of the route applies if it is shorter. */
const DEFAULT_DEADLINE_MS = 60_000;
/** Bytes of the separator after a header name, and of the line end after its value. */
const SEPARATOR_BYTES = 2;

/** Why a call is not run. */
export interface Refusal {
    readonly kind: "refused";
    readonly failure: failure.FailureKind;
    readonly detail: string;
    readonly retryAfterMs?: number;
    /** The connection is closed after the response. */
    readonly closesConnection?: boolean;
}

/** A call whose head has passed the checks; its body may be read. */
export interface AcceptedCall {
    readonly kind: "accepted";
    readonly head: fleet.CallHead;
    readonly table: routingTables.RoutingTable;
    readonly route: fleet.Route;
    readonly service: string;
    readonly customer: fleet.Customer | undefined;
    readonly deadlineAt: number;
}

/** A call that has passed all checks and is charged to its customer. */
export interface Admission {
    readonly kind: "admitted";
    readonly head: fleet.CallHead;
    readonly route: fleet.Route;
    readonly service: string;
    readonly customer: fleet.Customer | undefined;
    readonly body: Buffer;
    readonly chargedTokens: number;
    readonly deadlineAt: number;
    readonly cache: promptCacheAccess.PromptCacheAccess;
    readonly fingerprints: callFingerprints.CallFingerprints;
    readonly placement: callPlacements.CallPlacement;
}

/** A call as it arrived. */
export interface Arrival {
    readonly request: http.IncomingMessage;
    readonly head: fleet.CallHead;
    readonly arrivedAt: number;
}

/** Checks the form of the head and the call against the configuration. */
export function acceptHead(ports: types.CallPorts, arrival: Arrival): AcceptedCall | Refusal {
    const { request } = arrival;
    const malformation = callSyntax.malformation(request);
    if (malformation !== undefined) {
        return { kind: "refused", failure: "call-invalid", detail: malformation };
    }
    const limitBytes = ports.view.routingTable?.configuration.limits.headerBytes ?? Number.MAX_SAFE_INTEGER;
    if (headBytes(request) > limitBytes) {
        const detail = `more than ${limitBytes} bytes`;
        return { kind: "refused", failure: "call-head-too-large", detail, closesConnection: true };
    }
    return authorize(ports, arrival);
}

/** Checks a call that was accepted once more if something has changed while its body arrived. */
export function reauthorize(
    ports: types.CallPorts,
    arrival: Arrival,
    accepted: AcceptedCall,
): AcceptedCall | Refusal {
    const isUnchanged = ports.view.routingTable === accepted.table && !ports.isClosing() && ports.endsAt() === Infinity;
    return isUnchanged ? accepted : authorize(ports, arrival);
}

/** Charges a call whose body has arrived to its customer, unless it is over its quota or quarantined. */
export function admit(
    ports: types.CallPorts,
    request: http.IncomingMessage,
    { head, route, service, customer, deadlineAt }: AcceptedCall,
    body: Buffer,
): Admission | Refusal {
    const { method = "GET", url: path = "/" } = request;
    const { cache, fingerprints, placement } = preparePlacement(ports, { head, route, service, customer }, {
        method,
        path,
        body,
    });
    const standing = placement.standing();
    if (standing.kind === "refuse") {
        const { fingerprint: detail, retryAfterMs } = standing;
        return { kind: "refused", failure: "call-quarantined", detail, retryAfterMs };
    }
    const chargedTokens = customer === undefined ? 0 : routingTables.chargedTokens(customer, head);
    const quotaWaitMs = customer === undefined ? 0 : ports.quotas.admit(customer, chargedTokens, ports.clock.now());
    if (quotaWaitMs > 0) {
        const detail = `${customer!.name} for ${chargedTokens} tokens`;
        return { kind: "refused", failure: "over-quota", detail, retryAfterMs: quotaWaitMs };
    }
    return {
        kind: "admitted",
        head,
        route,
        service,
        customer,
        body,
        chargedTokens,
        deadlineAt,
        cache,
        fingerprints,
        placement,
    };
}

/** What placing a call needs. Charges and reserves nothing. */
export function preparePlacement(
    ports: types.CallPorts,
    { head, route, service, customer }: Pick<AcceptedCall, "head" | "route" | "service" | "customer">,
    request: Pick<callFingerprints.FingerprintedCall, "method" | "path" | "body">,
): Pick<Admission, "cache" | "fingerprints" | "placement"> {
    const fingerprints = new callFingerprints.CallFingerprints({ head, customer, ...request });
    const { capabilities, regions } = ports.settings;
    const homes = capabilities.placementConstraints
        ? homeRegions.homesOf([route.homes, customer?.homes], regions)
        : undefined;
    const cache = new promptCacheAccess.PromptCacheAccess(ports, head, customer, homes);
    const placement = new callPlacements.CallPlacement(ports, {
        head,
        route,
        service,
        cache,
        fingerprints,
        homes,
    });
    return { cache, fingerprints, placement };
}

/** Rank of the call in the queues; 0 is the highest. */
export function priorityOf({ customer, route }: Pick<Admission, "customer" | "route">): number {
    return customer?.priority ?? route.priority;
}

/** Checks a call against the configuration in force. */
function authorize(ports: types.CallPorts, { request, head, arrivedAt }: Arrival): AcceptedCall | Refusal {
    if (ports.isClosing()) {
        return closing();
    }
    const { view } = ports;
    const table = view.routingTable;
    if (table === undefined || !view.isComplete) {
        const detail = "no configuration or no servers";
        return { kind: "refused", failure: "entry-not-configured", detail, retryAfterMs: RETRY_AFTER_STARTUP_MS };
    }
    const path = request.url ?? "/";
    const host = request.headers.host ?? "";
    const route = routingTables.findRoute(table, host, path);
    if (route === undefined) {
        return { kind: "refused", failure: "call-route-unknown", detail: `${host}${path.split("?")[0]}` };
    }
    const customer = head.key === undefined ? undefined : table.customersByKey.get(head.key);
    const needsKey = !route.open && table.configuration.customers.length > 0;
    if (needsKey && customer === undefined) {
        return { kind: "refused", failure: "call-key-unknown", detail: route.name };
    }
    const service = routingTables.chooseService(route, head.id);
    if (service === undefined) {
        const detail = `route ${route.name} has no service`;
        return { kind: "refused", failure: "no-server-available", detail, retryAfterMs: RETRY_AFTER_STARTUP_MS };
    }
    const deadlineAt = arrivedAt + Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
    // Streams mostly end long before their deadline.
    if (route.kind !== "stream" && deadlineAt > ports.endsAt()) {
        return closing();
    }
    return { kind: "accepted", head, table, route, service, customer, deadlineAt };
}

function closing(): Refusal {
    return { kind: "refused", failure: "entry-closing", detail: "", retryAfterMs: RETRY_AFTER_CLOSING_MS };
}

/** Size of the request line and the headers in bytes, as the caller sent them. */
function headBytes(request: http.IncomingMessage): number {
    const requestLine = (request.method ?? "").length + (request.url ?? "").length;
    return request.rawHeaders.reduce((sum, text) => sum + text.length + SEPARATOR_BYTES, requestLine);
}
