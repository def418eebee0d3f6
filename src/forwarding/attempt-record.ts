/** Tells the other parts of the entry how an attempt went: rollouts, quarantine, and the health of its server. */
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import * as attemptKinds from "./attempt-kinds.js";
import type * as admissions from "./call-admission.js";
import type * as callAttempts from "./call-attempt.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds for which a server is excluded after a mismatch. A server that was replaced leaves the registry
 * within seconds.
 */
const MISMATCH_EXCLUSION_MS = { weights: 200, server: 5000 } as const;

/** Counts the attempt for the rollout of its service, if there is one. */
export function recordOutcome(
    ports: types.CallPorts,
    admission: admissions.Admission,
    server: fleet.BackendServer,
    attempt: callAttempts.CallAttempt,
    result: callAttempts.AttemptResult | undefined,
): void {
    const end = result === undefined ? "abandoned" : attemptKinds.OUTCOME_ENDS[result.kind];
    if (end !== undefined) {
        const now = ports.clock.now();
        ports.rollouts.record({
            service: admission.service,
            softwareVersion: server.softwareVersion,
            route: admission.route.name,
            server: server.id,
            end,
            times: attempt.times(now),
        }, now);
    }
}

/** A server that has begun to answer did not crash of the call. */
export function recordBegun({ suspects, clock }: types.CallPorts, admission: admissions.Admission): void {
    if (!suspects.isEmpty) {
        suspects.recordAnswer(admission.fingerprints.all, { now: clock.now(), wallTime: clock.wallTime() });
    }
    admission.placement.endTrial();
}

/** Accuses the call if its server crashed before it began to answer. */
export async function reportLoss(
    ports: types.CallPorts,
    admission: admissions.Admission,
    server: fleet.BackendServer,
    result: callAttempts.AttemptResult | undefined,
): Promise<void> {
    if (result?.kind === "broken" && !result.hasBegun) {
        const trials = admission.placement.trialSuspects;
        const lostCall = { fingerprints: admission.fingerprints.all, trials };
        await ports.crashes.report(server, lostCall);
    }
}

/** Records what a failed attempt tells about its server. */
export function updateServerHealth(
    ports: types.CallPorts,
    server: fleet.BackendServer,
    result: callAttempts.AttemptResult,
    log: (name: event.EventName, fields: event.Fields) => void,
): void {
    const now = ports.clock.now();
    if (result.kind === "not-executed") {
        if (result.mismatch !== undefined) {
            ports.view.recordMismatch(server.id, now + MISMATCH_EXCLUSION_MS[result.mismatch]);
        }
        if (result.mismatch === "server") {
            ports.view.recordAbsence(server);
        }
        return;
    }
    if (attemptKinds.BLAMELESS_KINDS.has(result.kind)) {
        return;
    }
    if (result.kind === "server-failure" || result.isServerBusy) {
        ports.serverHealth.recordResponse(server.id, true, now);
        return;
    }
    const pauseMs = Math.round(ports.serverHealth.recordUnreachable(server.id, now));
    log("server-suspected", { backendServer: server.id, pauseMs, reason: result.reason });
}
