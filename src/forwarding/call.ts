/** Handles one call from its headers to its final response. */
import type * as http from "node:http";
import * as catalogue from "../catalogue/failures.js";
import type * as event from "../core/event.js";
import type * as failure from "../core/failure.js";
import type * as fleet from "../fleet/types.js";
import type * as prefills from "../placement/prefills.js";
import type * as serverLoads from "../placement/server-load.js";
import type * as placement from "../placement/types.js";
import * as attemptKinds from "./attempt-kinds.js";
import * as discards from "./body-discard.js";
import * as admissions from "./call-admission.js";
import * as callAttempts from "./call-attempt.js";
import * as callPlacements from "./call-placement.js";
import * as callerResponses from "./caller-response.js";
import * as memoryOwners from "./memory-owner.js";
import type * as promptCacheAccess from "./prompt-cache-access.js";
import * as retries from "./retry-decision.js";
import type * as types from "./types.js";
import * as uploads from "./upload.js";
import * as waitLimits from "./wait-limit.js";

/** Retry delay in milliseconds for the caller, by the reason why no server is available. */
const RETRY_AFTER_MS: Readonly<Record<placement.UnplacedReason, number>> = {
    "no-server": 500,
    "all-suspected": 400,
    "all-outdated": 500,
    "all-moving": 300,
    "all-limited": 500,
    "all-cold": 300,
    "all-evacuated": 1000,
    "all-outside-homes": 1000,
    "all-paused": 300,
    "all-full": 400,
};
const RETRY_AFTER_REJECTION_MS = 300;
const RETRY_AFTER_TRIAL_MS = 400;
/**
 * Time in milliseconds for which a server is excluded after a mismatch. A server that was replaced leaves the registry
 * within seconds.
 */
const MISMATCH_EXCLUSION_MS = { weights: 200, server: 5000 } as const;

/** Longest wait in milliseconds for shared parts that another call prefills. Prefilling them takes about as long. */
const MAXIMUM_PREFILL_WAIT_MS = 350;
const PREFILL_POLL_MS = 40;
/** Interval in milliseconds at which an answer that is delivered after the deadline is checked. */
const LATE_ANSWER_POLL_MS = 100;

/** A call that is counted at the server that was chosen for it, from the moment of the choice on. */
interface PlacedCall extends Disposable {
    readonly choice: callPlacements.ServerChoice;
    readonly cacheLookup: promptCacheAccess.CacheLookup;
    readonly uncachedTokens: number;
    readonly load: serverLoads.PlacedCall;
    readonly prefill: prefills.PrefillHandle;
}

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
    /** Number of attempts that may have run. */
    private executedAttempts = 0;
    /** Number of attempts that reached no server or were rejected without being run. */
    private unexecutedAttempts = 0;
    private attempts = 0;
    private readonly request: http.IncomingMessage;

    /** `onAccept` is called when the body is wanted. */
    constructor(
        private readonly ports: CallContext,
        private readonly response: http.ServerResponse,
        private readonly onAccept: () => void,
    ) {
        this.request = response.req;
        this.arrivedAt = ports.clock.now();
        this.callerResponse = new callerResponses.CallerResponse(response, ports);
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
        placed: PlacedCall,
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
        if (this.executedAttempts > 0) {
            this.endUnknown();
            return;
        }
        if (this.admission !== undefined) {
            this.refund(this.admission);
        }
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

    private get elapsedMs(): number {
        return this.ports.clock.now() - this.arrivedAt;
    }

    /** Checks the head, reads the body and charges the call. Undefined if the call was refused. */
    private async admit(): Promise<admissions.Admission | undefined> {
        const head = this.ports.dialect.decodeCall(this.request.headers);
        if (head === undefined) {
            return this.refuse("call-invalid", "no request id");
        }
        this.callerResponse.callId = head.id;
        const arrival = { request: this.request, head, arrivedAt: this.arrivedAt };
        const accepted = admissions.acceptHead(this.ports, arrival);
        if (accepted.kind === "refused") {
            return this.refuseAdmission(accepted);
        }
        this.accepted = accepted;
        this.startDeadline(accepted.deadlineAt);
        const received = await this.receiveBody(accepted);
        if (this.isFinished || received.kind === "aborted") {
            return undefined;
        }
        if (received.kind === "refused") {
            return this.refuseAdmission(received);
        }
        const confirmed = admissions.reauthorize(this.ports, arrival, accepted);
        if (confirmed.kind === "refused") {
            return this.refuseAdmission(confirmed);
        }
        this.accepted = confirmed;
        const admission = admissions.admit(this.ports, this.request, confirmed, received.body);
        return admission.kind === "refused" ? this.refuseAdmission(admission) : admission;
    }

    private async receiveBody(accepted: admissions.AcceptedCall): Promise<uploads.UploadResult> {
        const upload = new uploads.Upload(this.ports, {
            request: this.request,
            owner: memoryOwners.memoryOwner(accepted.customer, this.request),
            deadlineAt: accepted.deadlineAt,
            limitBytes: accepted.table.configuration.limits.bodyBytes,
            onAccept: this.onAccept,
        });
        this.interrupt = () => upload.cancel();
        const received = await upload.receive();
        this.interrupt = undefined;
        if (received.kind === "body") {
            this.memory = received.memory;
        }
        if (upload.waitedMs >= 1) {
            this.log("call-waits", { reason: "memory", waitedMs: Math.round(upload.waitedMs) });
        }
        return received;
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
    private async waitForServer(admission: admissions.Admission): Promise<PlacedCall | undefined> {
        const queue = this.ports.queues.of(admission.service);
        const firstChoice = await this.chooseAfterPrefill(admission);
        if (firstChoice.kind === "server" && queue.size === 0 || this.isFinished) {
            return firstChoice.kind === "server" && !this.isFinished
                ? this.place(admission, firstChoice)
                : undefined;
        }
        if (firstChoice.kind === "quarantined") {
            this.refuseQuarantined(admission, firstChoice.fingerprint, firstChoice.retryAfterMs);
            return undefined;
        }
        const now = this.ports.clock.now();
        const timeoutAt = this.waitEndsAt(admission, now);
        if (
            firstChoice.kind === "none" && this.executedAttempts === 0
            && (callPlacements.LASTING_REASONS.has(firstChoice.reason) || now + (firstChoice.pauseMs ?? 0) > timeoutAt)
        ) {
            this.refuseUnplaced(admission, firstChoice.reason, firstChoice.pauseMs);
            return undefined;
        }
        let reason = firstChoice.kind === "none" ? firstChoice.reason : "all-full";
        this.log("call-waits", {
            reason,
            waiting: queue.size,
            service: admission.service,
            limitMs: Math.round(timeoutAt - now),
        });
        return new Promise((resolve, reject) => {
            const queuedCall = {
                priority: admissions.priorityOf(admission),
                arrivedAt: this.arrivedAt,
                timeoutAt,
                requirements: admission.placement.requirements,
                tryPlace: () => {
                    if (this.isFinished) {
                        resolve(undefined);
                        return true;
                    }
                    const choice = admission.placement.choose();
                    if (choice.kind === "quarantined") {
                        this.refuseQuarantined(admission, choice.fingerprint, choice.retryAfterMs);
                        resolve(undefined);
                        return true;
                    }
                    if (choice.kind === "none") {
                        reason = choice.reason;
                        if (this.executedAttempts > 0 || !callPlacements.LASTING_REASONS.has(reason)) {
                            return false;
                        }
                        this.refuseUnplaced(admission, reason);
                        resolve(undefined);
                        return true;
                    }
                    resolve(this.place(admission, choice));
                    return true;
                },
                onTimeout: () => {
                    this.refuseUnplaced(admission, reason);
                    resolve(undefined);
                },
                onError: reject,
            };
            this.interrupt = () => {
                queue.remove(queuedCall);
                resolve(undefined);
            };
            this.ports.queues.enqueue(admission.service, queuedCall);
        });
    }

    /** Time until which the call waits for a server. */
    private waitEndsAt(admission: admissions.Admission, now: number): number {
        return waitLimits.waitEndsAt(
            {
                kind: admission.route.kind,
                arrivedAt: this.arrivedAt,
                deadlineAt: admission.deadlineAt,
                executedAttempts: this.executedAttempts,
                lastProgressAt: this.callerResponse.lastEventAt ?? this.arrivedAt,
                targetLatencyMs: admission.route.targetLatencyMs,
                targetGapMs: admission.route.targetGapMs,
            },
            now,
        );
    }

    /** Chooses a server, after a short wait for shared parts that are being prefilled for another call. */
    private async chooseAfterPrefill(admission: admissions.Admission): Promise<callPlacements.Placement> {
        let choice = admission.placement.choose();
        const startedAt = this.ports.clock.now();
        let waitedMs = 0;
        while (
            choice.kind === "server" && this.attempts === 0 && !this.isFinished && waitedMs < MAXIMUM_PREFILL_WAIT_MS
        ) {
            if (!admission.cache.isBeingPrefilled(choice.candidate, this.ports.clock.now())) {
                break;
            }
            await this.ports.clock.sleep(PREFILL_POLL_MS);
            waitedMs = Math.round(this.ports.clock.now() - startedAt);
            choice = admission.placement.choose();
        }
        if (waitedMs > 0) {
            this.log("call-waits", { reason: "part-being-read", service: admission.service, waitedMs });
        }
        return choice;
    }

    /** `pauseMs` is the time in milliseconds for which no server takes calls, if known. */
    private refuseUnplaced(
        admission: admissions.Admission,
        reason: placement.UnplacedReason | "on-trial",
        pauseMs = 0,
    ): void {
        if (this.executedAttempts === 0) {
            this.refund(admission);
            const retryAfterMs = pauseMs + (reason === "on-trial" ? RETRY_AFTER_TRIAL_MS : RETRY_AFTER_MS[reason]);
            this.refuse("no-server-available", reason, retryAfterMs);
            return;
        }
        this.refuse("call-outcome-unknown", `no server for another attempt: ${reason}`);
    }

    private refuseQuarantined(admission: admissions.Admission, fingerprint: string, retryAfterMs: number): void {
        if (this.executedAttempts === 0) {
            this.refund(admission);
            this.refuse("call-quarantined", fingerprint, retryAfterMs);
            return;
        }
        this.refuse("call-outcome-unknown", `calls like it crash servers: ${fingerprint}`);
    }

    /**
     * Counts the call at its server at once: the calls of one pass of the queue are placed one after the other, and each
     * has to see those before it.
     */
    private place(admission: admissions.Admission, choice: callPlacements.ServerChoice): PlacedCall {
        const now = this.ports.clock.now();
        const { head, service } = admission;
        const { candidate } = choice;
        this.attempts++;
        admission.placement.triedServers.add(candidate.server.id);
        const budget = this.ports.retryBudgets.of(service, now);
        if (this.attempts === 1) {
            budget.recordRequest(now);
        }
        const cacheLookup = admission.cache.lookUp(candidate, choice.isPreferred, now);
        const uncachedTokens = Math.max(0, head.promptTokens - cacheLookup.cachedTokens);
        this.log("call-placed", {
            backendServer: candidate.server.id,
            attempt: this.attempts,
            costMs: Math.round(choice.costMs),
            isHome: choice.isPreferred,
            calls: candidate.calls,
            unreadTokens: Math.round(candidate.pendingPromptTokens),
            cachedTokens: cacheLookup.cachedTokens,
            part: admission.cache.lastSharedPartId,
            fetchFrom: cacheLookup.plan?.fetchFrom,
            saves: cacheLookup.plan?.saveTo !== undefined,
            weights: candidate.weightsVersion,
            isCold: candidate.isCold === true ? true : undefined,
            serverLimit: this.ports.serverLimits.limitOf(candidate.server.id),
            configuration: this.ports.view.routingTable?.configuration.version,
            serversRevision: this.ports.view.serversRevision,
        });
        this.ports.serverLimits.recordRequest(candidate.server.id, now);
        this.ports.coldServers?.recordTraffic();
        this.ports.demand.record(service, uncachedTokens, head.promptTokens, now);
        const prefill = admission.cache.beginPrefill(candidate, cacheLookup, now);
        // Nothing after this may throw, since the call would then count at its server without an owner.
        const load = this.ports.serverLoad.place(candidate.server.id, uncachedTokens);
        return {
            choice,
            cacheLookup,
            uncachedTokens,
            load,
            prefill,
            [Symbol.dispose]: () => {
                prefill[Symbol.dispose]();
                load[Symbol.dispose]();
            },
        };
    }

    private async runAttempt(
        admission: admissions.Admission,
        { choice, cacheLookup, uncachedTokens, load, prefill }: PlacedCall,
    ): Promise<callAttempts.AttemptResult | undefined> {
        const { candidate } = choice;
        const attempt = new callAttempts.CallAttempt(this.ports, {
            admission: { ...admission, priority: admissions.priorityOf(admission) },
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
            onBegun: () => this.onBegun(admission),
            isRepeated: this.attempts > 1,
            hasAttemptLeft: this.executedAttempts + 1 < admission.route.maximumAttempts,
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
            this.recordOutcome(admission, candidate.server, attempt, result);
            await this.reportLoss(admission, choice, result);
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

    /** Counts the attempt for the rollout of its service, if there is one. */
    private recordOutcome(
        admission: admissions.Admission,
        server: fleet.BackendServer,
        attempt: callAttempts.CallAttempt,
        result: callAttempts.AttemptResult | undefined,
    ): void {
        const end = result === undefined ? "abandoned" : attemptKinds.OUTCOME_ENDS[result.kind];
        if (end !== undefined) {
            const now = this.ports.clock.now();
            this.ports.rollouts.record({
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
    private onBegun(admission: admissions.Admission): void {
        const { suspects, clock } = this.ports;
        if (!suspects.isEmpty) {
            suspects.recordAnswer(admission.fingerprints.all, { now: clock.now(), wallTime: clock.wallTime() });
        }
        admission.placement.endTrial();
    }

    /** Accuses the call if its server crashed before it began to answer. */
    private async reportLoss(
        admission: admissions.Admission,
        choice: callPlacements.ServerChoice,
        result: callAttempts.AttemptResult | undefined,
    ): Promise<void> {
        if (result?.kind === "broken" && !result.hasBegun) {
            const trials = admission.placement.trialSuspects;
            const lostCall = { fingerprints: admission.fingerprints.all, trials };
            await this.ports.crashes.report(choice.candidate.server, lostCall);
        }
    }

    /** Handles an attempt without a usable response. Returns true if the call is to be retried. */
    private handleFailedAttempt(
        admission: admissions.Admission,
        choice: callPlacements.ServerChoice,
        result: callAttempts.AttemptResult,
    ): boolean {
        if (result.kind === "answered" || this.isFinished) {
            return false;
        }
        const now = this.ports.clock.now();
        const wasUnexecuted = attemptKinds.UNEXECUTED_KINDS.has(result.kind);
        this.executedAttempts += wasUnexecuted ? 0 : 1;
        this.unexecutedAttempts += wasUnexecuted ? 1 : 0;
        this.updateServerHealth(choice.candidate.server, result, now);
        const budget = this.ports.retryBudgets.of(admission.service, now);
        const decision = retries.decide(result.kind, {
            kind: admission.route.kind,
            isResumable: admission.route.resumable,
            maximumAttempts: admission.route.maximumAttempts,
            executedAttempts: this.executedAttempts,
            unexecutedAttempts: this.unexecutedAttempts,
            remainingMs: admission.deadlineAt - now,
            isRelayed: this.callerResponse.isRelayed,
            hasRetryBudget: budget.canRetry(now),
        });
        const backendServer = choice.candidate.server.id;
        this.log("attempt-ended", {
            backendServer,
            end: result.kind,
            reason: result.reason,
            decision,
            ran: this.executedAttempts,
            mismatch: result.mismatch,
            hasBegun: result.hasBegun,
            parts: result.kind === "broken" ? admission.head.parts.map(part => part.id).join(" ") : undefined,
        });
        this.ports.meter.attemptFailed(admission.service, result.kind, result.hasBegun);
        if (decision === "retry") {
            // An attempt that reached no server adds no load to the service, so its retry is not counted.
            if (result.kind !== "not-sent") {
                budget.tryRetry(now);
            }
            return true;
        }
        this.failCall(admission, decision, result);
        return false;
    }

    private updateServerHealth(server: fleet.BackendServer, result: callAttempts.AttemptResult, now: number): void {
        if (result.kind === "not-executed") {
            if (result.mismatch !== undefined) {
                this.ports.view.recordMismatch(server.id, now + MISMATCH_EXCLUSION_MS[result.mismatch]);
            }
            if (result.mismatch === "server") {
                this.ports.view.recordAbsence(server);
            }
            return;
        }
        if (attemptKinds.BLAMELESS_KINDS.has(result.kind)) {
            return;
        }
        if (result.kind === "server-failure") {
            this.ports.serverHealth.recordResponse(server.id, true, now);
            return;
        }
        const pauseMs = Math.round(this.ports.serverHealth.recordUnreachable(server.id, now));
        this.log("server-suspected", { backendServer: server.id, pauseMs, reason: result.reason });
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
            this.refund(admission);
            this.refuse("call-turned-away", result.reason, RETRY_AFTER_REJECTION_MS);
            return;
        }
        this.refuse("call-outcome-unknown", result.reason);
    }

    /** Ends a call whose handling threw an unexpected error. */
    private failInternally(error: unknown): void {
        const reason = error instanceof Error ? error.stack ?? error.message : String(error);
        this.log("call-faulted", { reason });
        this.refuse(this.attempts > 0 ? "call-outcome-unknown" : "call-failed-internally", "internal error");
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
        if (admission === undefined) {
            this.callerResponse.closeAfterResponse();
            this.refuse("call-upload-timed-out", `after ${Math.round(this.elapsedMs)} ms`);
        }
        else if (this.executedAttempts === 0 && !this.isAttempting) {
            this.refund(admission);
            this.refuse(
                "no-server-available",
                "no server before the deadline of the call",
                RETRY_AFTER_REJECTION_MS,
            );
        }
        else {
            this.refuse("call-timed-out", `after ${Math.round(this.elapsedMs)} ms`);
        }
        this.isFinished = true;
        this.interrupt?.();
    }

    private onCallerDisconnect(): void {
        if (this.isFinished || this.callerResponse.isEnded) {
            return;
        }
        this.log("call-cancelled", { elapsedMs: Math.round(this.elapsedMs), attempts: this.attempts });
        // An at-most-once call continues: aborting it would leave its outcome unknown.
        const continues = this.admission?.route.kind === "at-most-once" && this.attempts > 0;
        this.isFinished = true;
        if (!continues) {
            this.interrupt?.();
        }
    }

    private refund(admission: admissions.Admission): void {
        if (admission.customer !== undefined) {
            this.ports.quotas.refund(admission.customer, admission.chargedTokens, this.ports.clock.now());
        }
    }

    /** Sends an error response, or aborts the response if it has already started. */
    private refuse(kind: failure.FailureKind, detail: string, retryAfterMs?: number): undefined {
        if (this.isFinished || this.callerResponse.isEnded) {
            return undefined;
        }
        if (this.callerResponse.hasStarted) {
            this.log("call-broken-off", { reason: detail, elapsedMs: Math.round(this.elapsedMs) });
            this.callerResponse.abort();
            return undefined;
        }
        const definition: failure.FailureDefinition = catalogue.failures[kind];
        this.log("call-refused", {
            failure: kind,
            detail,
            status: definition.status,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            elapsedMs: Math.round(this.elapsedMs),
            attempts: this.attempts,
        });
        this.ports.meter.refused(this.accepted?.customer?.name ?? "", kind);
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
        const { route, customer } = this.accepted ?? {};
        const elapsedMs = this.elapsedMs;
        const firstEventMs = this.callerResponse.startedAt === undefined
            ? undefined
            : this.callerResponse.startedAt - this.arrivedAt;
        this.log("call-answered", {
            status: this.callerResponse.status,
            elapsedMs: Math.round(elapsedMs),
            firstEventMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
            route: route?.name,
            customer: customer?.name,
            attempts: this.attempts,
        });
        this.ports.meter.finished(
            customer?.name ?? "",
            route?.name ?? "",
            this.callerResponse.status,
            elapsedMs,
            firstEventMs,
        );
    }

    /** The response may go on for a while, but does not need the body any more. */
    private releaseBody(): void {
        this.admission = undefined;
        this.memory?.[Symbol.dispose]();
        this.memory = undefined;
    }

    private log(name: event.EventName, fields: event.Fields): void {
        this.ports.journal.emit(name, { call: this.callerResponse.callId, ...fields });
    }
}
