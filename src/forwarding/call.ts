/** Handles one call from its headers to its final response. */
import type * as http from "node:http";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import type * as placement from "../placement/types.js";
import * as attemptHistories from "./attempt-history.js";
import * as attemptRecords from "./attempt-record.js";
import * as discards from "./body-discard.js";
import * as admissions from "./call-admission.js";
import * as callArrivals from "./call-arrival.js";
import * as callAttempts from "./call-attempt.js";
import type * as callPlacements from "./call-placement.js";
import * as callRecords from "./call-record.js";
import * as callRefusals from "./call-refusal.js";
import * as callWaits from "./call-wait.js";
import * as callerResponses from "./caller-response.js";
import * as placedCalls from "./placed-call.js";
import type * as retries from "./retry-decision.js";
import type * as types from "./types.js";
import * as waitPolicies from "./wait-policy.js";

/** Interval in milliseconds at which an answer that is delivered after the deadline is checked. */
const LATE_ANSWER_POLL_MS = 100;

/** Ports of a call, and of the connection on which it arrived. */
export type CallContext = types.CallPorts & callerResponses.CallerResponsePorts;

export class Call {
    private readonly arrivedAt: number;
    private readonly callerResponse: callerResponses.CallerResponse;
    private admission: admissions.Admission | undefined;
    /** Call whose head has been accepted. */
    private accepted: admissions.AcceptedCall | undefined;
    /** Memory of the body and the call, from the moment at which the body is complete. */
    private memory: Disposable | undefined;
    /** Cancels the wait or the attempt in progress. */
    private interrupt: (() => void) | undefined;
    private isFinished = false;
    private isAttempting = false;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private readonly history = new attemptHistories.AttemptHistory();
    /** Kind of the prompt of a call that was placed; undefined unless servers are divided between kinds. */
    private promptKind: placement.PromptKind | undefined;
    private readonly request: http.IncomingMessage;
    private readonly waitPolicy: waitPolicies.WaitPolicy;

    /** `onAccept` is called when the body is wanted. */
    constructor(
        private readonly ports: CallContext,
        private readonly response: http.ServerResponse,
        private readonly onAccept: () => void,
    ) {
        this.request = response.req;
        this.arrivedAt = ports.clock.now();
        this.callerResponse = new callerResponses.CallerResponse(response, ports);
        this.waitPolicy = waitPolicies.waitPolicy(ports);
        response.on("close", () => this.onCallerDisconnect());
    }

    /** Handles the call. Returns when its response has ended or its caller has disconnected; does not reject. */
    async run(): Promise<void> {
        try {
            const admission = await this.admit();
            if (admission !== undefined) {
                this.admission = admission;
                await this.serve(admission);
            }
        }
        catch (error) {
            this.failInternally(error);
        }
        finally {
            this.finish();
        }
    }

    /** Runs attempts until one is final. */
    private async serve(admission: admissions.Admission): Promise<void> {
        using _trial = { [Symbol.dispose]: () => admission.placement.endTrial() };
        while (!this.isFinished) {
            const placed = await this.waitForServer(admission);
            if (placed === undefined) {
                return;
            }
            const result = await this.runPlaced(admission, placed);
            using _unusedAnswer = result?.response?.body;
            if (result === undefined || !this.handleFailedAttempt(admission, placed.choice, result)) {
                return;
            }
        }
    }

    /** Runs one attempt, and gives back what was reserved for it however it ends. */
    private async runPlaced(
        admission: admissions.Admission,
        placed: placedCalls.PlacedCall,
    ): Promise<callAttempts.AttemptResult | undefined> {
        try {
            using _placed = placed;
            return this.isFinished ? undefined : await this.runAttempt(admission, placed);
        }
        finally {
            admission.placement.endTrial();
            this.ports.queues.dispatch(admission.service);
        }
    }

    /** Ends the call unless a server runs it now. */
    endWaiting(): void {
        if (this.isFinished || this.isAttempting || this.callerResponse.isEnded) {
            return;
        }
        if (this.history.executed > 0) {
            this.endUnknown();
            return;
        }
        this.refund(this.admission);
        this.refuse("entry-closing", "", admissions.RETRY_AFTER_CLOSING_MS);
        this.isFinished = true;
        this.interrupt?.();
    }

    /** Ends the call. The caller of one that a server runs now learns that its outcome is unknown. */
    end(): void {
        this.endWaiting();
        if (!this.isFinished && !this.callerResponse.isEnded) {
            this.endUnknown();
        }
    }

    private endUnknown(): void {
        this.refuse("call-outcome-unknown", "the entry stops");
        this.isFinished = true;
        this.interrupt?.();
    }

    private get state(): callRecords.EndedCall {
        return {
            accepted: this.accepted,
            elapsedMs: this.elapsedMs,
            attempts: this.history.attempts,
            promptKind: this.promptKind,
            longestPauseMs: this.callerResponse.longestPauseMs,
            log: this.log,
        };
    }

    private get elapsedMs(): number {
        return this.ports.clock.now() - this.arrivedAt;
    }

    /** Takes in the call. Undefined if it was refused or cancelled. */
    private async admit(): Promise<admissions.Admission | undefined> {
        const head = this.ports.dialect.decodeCall(this.request.headers);
        if (head === undefined) {
            return this.refuse("call-invalid", "no request id");
        }
        this.callerResponse.callId = head.id;
        const arrival = { request: this.request, head, arrivedAt: this.arrivedAt };
        const admission = await callArrivals.receive(this.ports, arrival, {
            onAccept: this.onAccept,
            onAccepted: accepted => {
                if (this.accepted === undefined) {
                    this.startDeadline(accepted.deadlineAt);
                }
                this.accepted = accepted;
            },
            onUpload: cancel => {
                this.interrupt = cancel;
            },
            onBody: memory => {
                this.memory = memory;
            },
            isFinished: () => this.isFinished,
            log: this.log,
        });
        return admission?.kind === "refused" ? this.refuseAdmission(admission) : admission;
    }

    private refuseAdmission({ failure: kind, detail, retryAfterMs, closesConnection }: admissions.Refusal): undefined {
        if (closesConnection === true) {
            this.callerResponse.closeAfterResponse();
        }
        return this.refuse(kind, detail, retryAfterMs);
    }

    private startDeadline(deadlineAt: number): void {
        const remainingMs = deadlineAt - this.ports.clock.now();
        this.deadlineTimer = setTimeout(() => this.onDeadline(), Math.max(0, remainingMs));
    }

    /** Waits until a server is available for the call. Undefined if the call was refused or cancelled. */
    private async waitForServer(admission: admissions.Admission): Promise<placedCalls.PlacedCall | undefined> {
        const wait = new callWaits.CallWait<placedCalls.PlacedCall>(this.ports, {
            admission,
            arrivedAt: this.arrivedAt,
            attempts: this.history.attempts,
            executedAttempts: this.history.executed,
            lastProgressAt: this.callerResponse.lastEventAt ?? this.arrivedAt,
            policy: this.waitPolicy,
            log: this.log,
        }, {
            place: choice => {
                this.promptKind = admission.placement.promptKind;
                return placedCalls.place(this.ports, {
                    admission,
                    choice,
                    attempt: ++this.history.attempts,
                    log: this.log,
                });
            },
            refuse: refusal => this.refuseCall(admission, refusal),
        });
        this.interrupt = () => wait.cancel();
        return await wait.run();
    }

    private refuseCall(admission: admissions.Admission | undefined, refusal: callRefusals.CallRefusal): void {
        if (refusal.refunds) {
            this.refund(admission);
        }
        const { failure: kind, detail, retryAfterMs, expectedWaitMs } = refusal;
        this.refuse(kind, detail, retryAfterMs, { expectedWaitMs: expectedWaitMs && Math.round(expectedWaitMs) });
    }

    private async runAttempt(
        admission: admissions.Admission,
        { choice, cacheLookup, uncachedTokens, load, prefill }: placedCalls.PlacedCall,
    ): Promise<callAttempts.AttemptResult | undefined> {
        const { candidate } = choice;
        const attempt = new callAttempts.CallAttempt(this.ports, {
            admission: { ...admission, priority: this.waitPolicy.enginePriorityOf(admission) },
            arrivedAt: this.arrivedAt,
            choice,
            request: this.request,
            callerResponse: this.callerResponse,
            onPrefillDone: () => {
                const prefilledAt = this.ports.clock.now();
                load.promptPrefilled();
                prefill.complete(prefilledAt);
                admission.cache.recordPrefill(candidate.server, cacheLookup, prefilledAt);
            },
            prefillQueueTokens: candidate.pendingPromptTokens + uncachedTokens,
            cacheScope: cacheLookup.scope,
            cachePlan: cacheLookup.plan,
            onBegun: () => attemptRecords.recordBegun(this.ports, admission),
            isRepeated: this.history.attempts > 1,
            hasAttemptLeft: this.history.executed + 1 < admission.route.maximumAttempts,
        });
        const mayWithdraw = admission.route.kind !== "at-most-once";
        using _pending = this.ports.suspects.trackPending({
            fingerprints: () => admission.fingerprints.all,
            withdraw: () => void (mayWithdraw && !admission.placement.isTrial && attempt.withdraw()),
        });
        this.interrupt = () => attempt.abort();
        this.isAttempting = true;
        try {
            const result = await attempt.run();
            attemptRecords.recordOutcome(this.ports, admission, candidate.server, attempt, result);
            await attemptRecords.reportLoss(this.ports, admission, candidate.server, result);
            return result;
        }
        catch (error) {
            attempt.abort();
            throw error;
        }
        finally {
            this.isAttempting = false;
            this.interrupt = undefined;
        }
    }

    /** Handles an attempt without a usable response. Returns true if the call is to be retried. */
    private handleFailedAttempt(
        admission: admissions.Admission,
        choice: callPlacements.ServerChoice,
        result: callAttempts.AttemptResult,
    ): boolean {
        const { kind } = result;
        if (kind === "answered" || this.isFinished) {
            return false;
        }
        const { server } = choice.candidate;
        attemptRecords.updateServerHealth(this.ports, server, result, this.log);
        const { isRelayed } = this.callerResponse;
        const failed = { admission, server: server.id, result: { ...result, kind }, isRelayed, log: this.log };
        const decision = this.history.decide(this.ports, failed);
        if (decision !== "retry") {
            this.failCall(admission, decision, result);
        }
        return decision === "retry";
    }

    private failCall(
        admission: admissions.Admission,
        decision: retries.RetryDecision,
        result: callAttempts.AttemptResult,
    ): void {
        if (decision === "pass-answer" && result.response !== undefined) {
            this.callerResponse.forward(result.response);
            return;
        }
        if (decision === "fail-not-run" && !this.callerResponse.hasStarted) {
            const retryAfterMs = this.waitPolicy.retryAfterRejectionMs(admission, this.ports.clock.now());
            this.refund(admission);
            this.refuse("call-turned-away", result.reason, retryAfterMs);
            return;
        }
        this.refuse("call-outcome-unknown", result.reason);
    }

    /** Ends a call whose handling threw an unexpected error. */
    private failInternally(error: unknown): void {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        this.log("call-faulted", { reason });
        this.refuse(this.history.attempts > 0 ? "call-outcome-unknown" : "call-failed-internally", "internal error");
    }

    /** Ends the call at its deadline. */
    private onDeadline(): void {
        const admission = this.admission;
        if (this.isFinished || this.callerResponse.isEnded) {
            // An attempt that goes on without its caller is not to occupy its server for longer than the caller allowed.
            this.interrupt?.();
            return;
        }
        if (this.callerResponse.continuesLate(this.ports.clock.now())) {
            this.deadlineTimer = setTimeout(() => this.onDeadline(), LATE_ANSWER_POLL_MS);
            return;
        }
        const retryAfterMs = admission && this.waitPolicy.retryAfterRejectionMs(admission, this.ports.clock.now());
        const mayHaveRun = this.history.executed > 0 || this.isAttempting;
        const refusal = callRefusals.atDeadline(this.elapsedMs, mayHaveRun, retryAfterMs);
        if (admission === undefined) {
            this.callerResponse.closeAfterResponse();
        }
        this.refuseCall(admission, refusal);
        this.isFinished = true;
        this.interrupt?.();
    }

    private onCallerDisconnect(): void {
        if (this.isFinished || this.callerResponse.isEnded) {
            return;
        }
        this.log("call-cancelled", { elapsedMs: Math.round(this.elapsedMs), attempts: this.history.attempts });
        // An at-most-once call continues: aborting it would leave its outcome unknown.
        const continues = this.admission?.route.kind === "at-most-once" && this.history.attempts > 0;
        this.isFinished = true;
        if (!continues) {
            this.interrupt?.();
        }
    }

    private refund(admission: admissions.Admission | undefined): void {
        if (admission?.customer !== undefined) {
            this.ports.quotas.refund(admission.customer, admission.chargedTokens, this.ports.clock.now());
        }
    }

    /** Sends an error response, or aborts the response if it has already started. */
    private refuse(
        kind: failure.FailureKind,
        detail: string,
        retryAfterMs?: number,
        fields: event.Fields = {},
    ): undefined {
        if (this.isFinished || this.callerResponse.isEnded) {
            return undefined;
        }
        if (this.callerResponse.hasStarted) {
            this.log("call-broken-off", { reason: detail, elapsedMs: Math.round(this.elapsedMs) });
            this.callerResponse.abort();
            return undefined;
        }
        const definition = callRecords.recordRefusal(this.ports, this.state, kind, { detail, retryAfterMs, fields });
        discards.discardBody(this.response, this.ports.view.routingTable?.configuration.limits.bodyBytes);
        this.callerResponse.sendFailure(definition.status, definition.message(detail), retryAfterMs);
        return undefined;
    }

    private finish(): void {
        clearTimeout(this.deadlineTimer);
        this.isFinished = true;
        this.releaseBody();
        if (this.callerResponse.status === undefined) {
            return;
        }
        const { status, startedAt } = this.callerResponse;
        const firstEventMs = startedAt === undefined ? undefined : startedAt - this.arrivedAt;
        callRecords.recordResponse(this.ports, this.state, status, firstEventMs);
    }

    /** The response may go on for a while, but does not need the body any more. */
    private releaseBody(): void {
        this.admission = undefined;
        this.memory?.[Symbol.dispose]();
        this.memory = undefined;
    }

    private readonly log = (name: event.EventName, fields: event.Fields): void => {
        this.ports.journal.emit(name, { call: this.callerResponse.callId, ...fields });
    };
}
