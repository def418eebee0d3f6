/** Log events and metrics of the end of a call. */
import * as catalogue from "../catalogue/failures.js";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import type * as placement from "../placement/types.js";
import type * as admissions from "./call-admission.js";
import type * as types from "./types.js";

/** A call at its end, as far as it got. */
export interface EndedCall {
    readonly accepted: admissions.AcceptedCall | undefined;
    readonly elapsedMs: number;
    readonly attempts: number;
    /** Kind of the prompt; undefined unless servers are divided between kinds. */
    readonly promptKind: placement.PromptKind | undefined;
    /** Longest time in milliseconds between two events of a stream. */
    readonly longestPauseMs: number;
    readonly log: (name: event.EventName, fields: event.Fields) => void;
}

/** Records a refusal, and returns its definition. */
export function recordRefusal(
    { meter }: types.CallPorts,
    { accepted, elapsedMs, attempts, log }: EndedCall,
    kind: failure.FailureKind,
    { detail, retryAfterMs, fields }: {
        readonly detail: string;
        readonly retryAfterMs: number | undefined;
        readonly fields: event.Fields;
    },
): failure.FailureDefinition {
    const definition: failure.FailureDefinition = catalogue.failures[kind];
    log("call-refused", {
        failure: kind,
        detail,
        status: definition.status,
        retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
        elapsedMs: Math.round(elapsedMs),
        attempts,
        ...fields,
    });
    meter.refused(accepted?.customer?.name ?? "", kind);
    if (retryAfterMs !== undefined) {
        meter.retryAdvised(kind, retryAfterMs);
    }
    return definition;
}

/** Records a response. `firstEventMs` is the time from the arrival of the call until its headers. */
export function recordResponse(
    { meter }: types.CallPorts,
    { accepted, elapsedMs, attempts, promptKind, longestPauseMs, log }: EndedCall,
    status: number,
    firstEventMs: number | undefined,
): void {
    const { route, customer } = accepted ?? {};
    log("call-answered", {
        status,
        elapsedMs: Math.round(elapsedMs),
        firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
        pauseMs: Math.round(longestPauseMs),
        route: route?.name,
        customer: customer?.name,
        attempts,
    });
    if (promptKind !== undefined) {
        meter.promptFinished(promptKind, firstEventMs, longestPauseMs > (route?.targetGapMs ?? Infinity));
    }
    meter.finished(customer?.name ?? "", route?.name ?? "", status, elapsedMs, firstEventMs);
}
