/** Records what a server states in the head of a response about itself and about further calls. */
import type * as fleet from "../fleet/types.js";
import * as statedLoads from "../placement/stated-load.js";
import type * as dialects from "./dialect.js";
import * as responseFaults from "./response-fault.js";
import type * as types from "./types.js";

const SERVICE_UNAVAILABLE = 503;

/** The attempt that got the response. */
export interface StatedAttempt {
    readonly admission: { readonly service: string; readonly head: fleet.CallHead; };
    readonly choice: { readonly candidate: { readonly server: fleet.BackendServer; }; };
}

export interface ReceivedHead {
    readonly status: number;
    readonly head: dialects.ResponseHead;
}

/** Records the limit, the notices and, where servers are contended, the load that the response states. */
export function record(ports: types.CallPorts, attempt: StatedAttempt, received: ReceivedHead, now: number): void {
    const { server } = attempt.choice.candidate;
    ports.serverLimits.recordResponse(server.id, received.head.requestsPerSecond, now);
    ports.coldServers?.recordResponse(server.id, received.head.coldMs, now);
    recordNotices(ports, server, received, now);
    if (ports.settings.capabilities.contendedServers) {
        recordLoad(ports, attempt, received, now);
    }
}

function recordNotices(
    { view, journal }: types.CallPorts,
    server: fleet.BackendServer,
    { status, head: { isLeaving, retryAfterMs } }: ReceivedHead,
    now: number,
): void {
    if (isLeaving && view.notices.recordLeaving(server)) {
        journal.emit("server-leaving", { backendServer: server.id });
    }
    if (status === SERVICE_UNAVAILABLE && retryAfterMs !== undefined) {
        view.notices.recordPause(server, retryAfterMs, now);
        journal.emit("server-paused", { backendServer: server.id, pauseMs: Math.round(retryAfterMs) });
    }
}

function recordLoad(ports: types.CallPorts, attempt: StatedAttempt, received: ReceivedHead, now: number): void {
    const { status, head: { load, isNotExecuted } } = received;
    const isRejection = isNotExecuted && status === SERVICE_UNAVAILABLE;
    if (status === responseFaults.MISDIRECTED_REQUEST || isRejection && exceedsServerMemory(ports, attempt)) {
        return;
    }
    const { server } = attempt.choice.candidate;
    const { statedLoads: known } = ports.view;
    const ownCalls = ports.serverLoad.ownCalls(server.id);
    const { isRejecting, isSlow } = isRejection
        ? known.recordRejection(server, { load, isEngine: engineOf(ports, attempt) !== undefined }, ownCalls, now)
        : known.record(server, load, ownCalls, now);
    if (isRejection) {
        ports.meter.serverRejected(attempt.admission.service, load && statedLoads.isOccupied(load));
    }
    if (isRejecting !== undefined) {
        ports.journal.emit("server-rejecting", { backendServer: server.id, isRejecting, ...load });
    }
    if (isSlow !== undefined) {
        ports.journal.emit("server-pace-changed", { backendServer: server.id, isSlow, ...load });
    }
}

/** No server of the service could hold the call, so that its rejection tells nothing of the server's load. */
function exceedsServerMemory(ports: types.CallPorts, attempt: StatedAttempt): boolean {
    return attempt.admission.head.promptTokens > (engineOf(ports, attempt)?.memoryTokens ?? Infinity);
}

function engineOf({ view }: types.CallPorts, { admission }: StatedAttempt): fleet.Engine | undefined {
    return view.routingTable?.configuration.services.get(admission.service)?.engine;
}
