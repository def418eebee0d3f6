/** Times after which an attempt is given up that sends nothing. */
import type * as fleet from "../fleet/types.js";
import * as silentAttempts from "../scheduling/silent-attempt.js";
import type * as types from "./types.js";
import * as waitLimits from "./wait-limit.js";

/** Response timeout of an idempotent call, as a multiple of the mean call time of its service. */
const IDEMPOTENT_TIMEOUT_FACTOR = 4;
/** Minimum response timeout of an idempotent call in milliseconds. */
const MINIMUM_IDEMPOTENT_TIMEOUT_MS = 300;
/** Timeout in milliseconds for the first event of a resumable stream. Callers disconnect after 2 s. */
const FIRST_EVENT_TIMEOUT_MS = 1500;
/** Timeout in milliseconds between two events of a resumable stream. */
const NEXT_EVENT_TIMEOUT_MS = 900;

export interface TimedAttempt {
    readonly route: fleet.Route;
    readonly server: fleet.BackendServer;
    readonly deadlineAt: number;
    /** Time of the last event that the caller received; the arrival of the call before the first one. */
    readonly lastProgressAt: number;
}

export function isResumable(route: fleet.Route): boolean {
    return route.kind === "stream" && route.resumable;
}

/** Timeout in milliseconds until the first sign of an answer; undefined for none. */
export function initialMs(ports: types.CallPorts, route: fleet.Route, service: string): number | undefined {
    if (isResumable(route)) {
        return FIRST_EVENT_TIMEOUT_MS;
    }
    const meanCallMs = ports.latencyEstimates.get(service).callMs;
    return route.kind === "idempotent"
        ? Math.max(MINIMUM_IDEMPOTENT_TIMEOUT_MS, meanCallMs * IDEMPOTENT_TIMEOUT_FACTOR)
        : undefined;
}

/** Timeout in milliseconds until the next event; undefined for none. */
export function nextEventMs(route: fleet.Route): number | undefined {
    return isResumable(route) ? NEXT_EVENT_TIMEOUT_MS : undefined;
}

/** Whether an attempt whose timeout is over goes on waiting for its server. */
export function silence(ports: types.CallPorts, attempt: TimedAttempt): silentAttempts.SilenceDecision {
    const { route, server, deadlineAt, lastProgressAt } = attempt;
    if (!ports.settings.capabilities.contendedServers || !isResumable(route)) {
        return { kind: "abandon", isServerBusy: false };
    }
    const { kind, targetLatencyMs, targetGapMs } = route;
    const now = ports.clock.now();
    const abandonedAt = waitLimits.abandonedAt({ kind, deadlineAt, lastProgressAt, targetLatencyMs, targetGapMs });
    return silentAttempts.decide({
        isReportedAlive: ports.view.isReportedAlive(server, now),
        abandonedAt: Math.min(deadlineAt, abandonedAt),
    }, now);
}
