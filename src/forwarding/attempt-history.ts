/** Attempts of a call, and the decision about the next one. */
import type * as event from "../core/event.js";
import * as attemptKinds from "./attempt-kinds.js";
import type * as admissions from "./call-admission.js";
import type * as callAttempts from "./call-attempt.js";
import * as retries from "./retry-decision.js";
import type * as types from "./types.js";

export interface FailedAttempt {
    readonly admission: admissions.Admission;
    /** Id of its server. */
    readonly server: string;
    readonly result: callAttempts.AttemptResult & { readonly kind: retries.AttemptFailure; };
    /** Bytes of an answer that cannot be resumed have reached the caller. */
    readonly isRelayed: boolean;
    readonly log: (name: event.EventName, fields: event.Fields) => void;
}

export class AttemptHistory {
    /** Number of attempts. */
    attempts = 0;
    /** Number of attempts that may have run. */
    executed = 0;
    /** Number of attempts that reached no server or were rejected without being run. */
    unexecuted = 0;

    /** Records a failed attempt, and decides what follows. */
    decide(
        ports: types.CallPorts,
        { admission, server, result, isRelayed, log }: FailedAttempt,
    ): retries.RetryDecision {
        const now = ports.clock.now();
        const wasUnexecuted = attemptKinds.UNEXECUTED_KINDS.has(result.kind);
        this.executed += wasUnexecuted ? 0 : 1;
        this.unexecuted += wasUnexecuted ? 1 : 0;
        const budget = ports.retryBudgets.of(admission.service, now);
        const decision = retries.decide(result.kind, {
            kind: admission.route.kind,
            isResumable: admission.route.resumable,
            maximumAttempts: admission.route.maximumAttempts,
            executedAttempts: this.executed,
            unexecutedAttempts: this.unexecuted,
            remainingMs: admission.deadlineAt - now,
            isRelayed,
            hasRetryBudget: budget.canRetry(now),
        });
        log("attempt-ended", {
            backendServer: server,
            end: result.kind,
            reason: result.reason,
            decision,
            ran: this.executed,
            mismatch: result.mismatch,
            hasBegun: result.hasBegun,
            parts: result.kind === "broken" ? admission.head.parts.map(part => part.id).join(" ") : undefined,
        });
        ports.meter.attemptFailed(admission.service, result.kind, result.hasBegun);
        // An attempt that reached no server adds no load to the service, so its retry is not counted.
        if (decision === "retry" && result.kind !== "not-sent") {
            budget.tryRetry(now);
        }
        return decision;
    }
}
