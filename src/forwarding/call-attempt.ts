/** One attempt of a call at a backend server, including the relay of the response to the caller. */
import type * as http from "node:http";
import type * as fleet from "../fleet/types.js";
import * as jsonClient from "../http/json-client.js";
import type * as cachePlans from "../placement/cache-plan.js";
import type * as placement from "../placement/types.js";
import type * as callOutcomes from "../rollout/call-outcome.js";
import * as answerReceivers from "./answer-receiver.js";
import * as attemptTimeouts from "./attempt-timeouts.js";
import type * as callerResponses from "./caller-response.js";
import type * as dialects from "./dialect.js";
import type * as splitters from "./event-splitter.js";
import * as memoryOwners from "./memory-owner.js";
import * as responseFaults from "./response-fault.js";
import * as responseReadings from "./response-reading.js";
import * as retries from "./retry-decision.js";
import * as serverRequests from "./server-request.js";
import * as serverStatements from "./server-statements.js";
import * as streamRelays from "./stream-relay.js";
import type * as types from "./types.js";

const MINIMUM_FAILURE_STATUS = 500;
/** Codes of the errors of a request whose path or headers have characters that no request can hold. */
const UNSENDABLE_CODES: ReadonlySet<string> = new Set([
    "ERR_UNESCAPED_CHARACTERS",
    "ERR_INVALID_CHAR",
    "ERR_INVALID_HTTP_TOKEN",
    "ERR_HTTP_INVALID_HEADER_VALUE",
]);

export interface AttemptAdmission {
    readonly head: fleet.CallHead;
    readonly route: fleet.Route;
    readonly service: string;
    readonly customer: fleet.Customer | undefined;
    readonly body: Buffer;
    readonly deadlineAt: number;
    readonly priority: number;
}

export interface AttemptInput {
    readonly admission: AttemptAdmission;
    /** Arrival of the call. */
    readonly arrivedAt: number;
    readonly choice: placement.PlacementDecision & { readonly kind: "server"; };
    readonly request: http.IncomingMessage;
    readonly callerResponse: callerResponses.CallerResponse;
    /** Called at the first event of the response, which shows that the server has prefilled the prompt. */
    readonly onPrefillDone: () => void;
    /** Called when the server begins to answer, but not for a failure response. */
    readonly onBegun: () => void;
    /** Prompt tokens that the server has to prefill before the first event of this call, including its own. */
    readonly prefillQueueTokens: number;
    /** Namespace of the cached prompt parts; undefined without a model or a known weights version. */
    readonly cacheScope: string | undefined;
    readonly cachePlan: cachePlans.CachePlan | undefined;
    /** The call has had an attempt before. */
    readonly isRepeated: boolean;
    /** The call may be run again after this attempt. */
    readonly hasAttemptLeft: boolean;
}

export interface AttemptResult {
    readonly kind: "answered" | retries.AttemptFailure;
    readonly reason: string;
    /** The server has begun to answer: the first event of a stream, or the head of another response, has arrived. */
    readonly hasBegun: boolean;
    /** Expectation of the attempt that the server did not meet: its identity, or the version of its weights. */
    readonly mismatch: "server" | "weights" | undefined;
    /** The server works, but was too busy for the call; for the kind `silent`. */
    readonly isServerBusy: boolean;
    /** Complete failure response of the server, for the kind `server-failure`, unless there was no memory for it. */
    readonly response: callerResponses.BufferedResponse | undefined;
}

/** How an attempt ended, with the fields that its kind has. */
type AttemptEnd =
    & Pick<AttemptResult, "kind" | "reason">
    & Partial<Pick<AttemptResult, "mismatch" | "response" | "isServerBusy">>;

type Mode = "awaiting-head" | "answering" | "streaming" | "finished";

export class CallAttempt implements serverRequests.ResponseListener {
    private mode: Mode = "awaiting-head";
    private readonly startedAt: number;
    private readonly result: Promise<AttemptResult | undefined>;
    private resolveResult: (result: AttemptResult | undefined) => void = () => undefined;
    private inFlight: serverRequests.InFlightRequest | undefined;
    private timer: NodeJS.Timeout | undefined;
    private response: http.IncomingMessage | undefined;
    private hasReceivedEvent = false;
    private firstEventAt = 0;
    private lastEventAt = 0;
    private events = 0;
    /** Events have reached the caller before the response, which has to continue them. */
    private continuesStream = false;
    private readonly reading: responseReadings.ResponseReading;
    private answer: answerReceivers.AnswerReceiver | undefined;
    private stream: streamRelays.StreamRelay | undefined;

    constructor(private readonly ports: types.CallPorts, private readonly input: AttemptInput) {
        this.startedAt = ports.clock.now();
        this.reading = new responseReadings.ResponseReading(ports.clock, () => this.inFlight);
        this.result = new Promise(resolve => {
            this.resolveResult = resolve;
        });
    }

    /** Sends the call. Resolves when the response was relayed or the attempt failed; undefined after `abort`. */
    run(): Promise<AttemptResult | undefined> {
        const { request, admission } = this.input;
        const { server } = this.input.choice.candidate;
        const headers = [
            ...this.ports.dialect.forwardedHeaders(request.rawHeaders),
            ...this.ports.dialect.attemptHeaders(this.attemptHead()),
            ...bodyHeaders(request, admission.body),
        ];
        const options = {
            address: server.address,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers,
            body: admission.body,
            // On a kept connection, a second copy of the answer to an earlier attempt would have the id of this one.
            mayReuseConnection: !this.input.isRepeated
                && (admission.route.kind === "idempotent" || attemptTimeouts.isResumable(admission.route)),
            work: { kind: "answer", call: admission.head.id, peer: server.id },
        };
        try {
            this.inFlight = serverRequests.send(options, this.ports.connectionPool, this);
        }
        catch (error) {
            const reason = jsonClient.errorCode(error as Error);
            this.finish({ kind: UNSENDABLE_CODES.has(reason) ? "unsendable" : "not-sent", reason });
            return this.result;
        }
        const { stated } = this.input.choice.candidate;
        if (stated !== undefined) {
            this.ports.meter.statementUsed(admission.service, stated.ageMs);
        }
        this.restartTimer(attemptTimeouts.initialMs(this.ports, admission.route, admission.service));
        return this.result;
    }

    /** Times of the attempt up to `now`, without those in which the server waited for the caller. */
    times(now: number): callOutcomes.CallTimes {
        return {
            firstEventMs: this.hasReceivedEvent ? this.firstEventAt - this.startedAt : undefined,
            streamMs: Math.max(0, this.lastEventAt - this.firstEventAt - this.reading.pausedMs(this.lastEventAt)),
            pauses: Math.max(0, this.events - 1),
            totalMs: now - this.startedAt - this.reading.pausedMs(now),
            isStream: this.input.admission.route.kind === "stream",
            targetLatencyMs: this.input.admission.route.targetLatencyMs,
        };
    }

    /** Ends the attempt if the call crashes servers and this one has not begun to answer. */
    withdraw(): void {
        if (this.mode !== "finished" && !this.hasReceivedEvent && this.mode !== "answering") {
            this.abandon("withdrawn", "calls like it crash servers");
        }
    }

    /** Cancels the attempt. */
    abort(): void {
        this.inFlight?.abort();
        this.finish(undefined);
    }

    head(response: http.IncomingMessage, isReused: boolean): void {
        const responseHead = this.ports.dialect.decodeResponse(response.headers);
        const status = response.statusCode ?? 0;
        const now = this.ports.clock.now();
        this.response = response;
        this.continuesStream = this.input.callerResponse.hasStarted;
        const fault = responseFaults.responseFault(responseHead, response, {
            callId: this.input.admission.head.id,
            isReused,
            continuesStream: this.continuesStream,
        });
        if (fault !== undefined) {
            this.abandon("broken", fault);
            return;
        }
        const serverId = this.input.choice.candidate.server.id;
        // A server also misdirects calls that expect other weights; without its identity it may be another server.
        if (status !== responseFaults.MISDIRECTED_REQUEST || responseHead.serverId === serverId) {
            serverStatements.record(this.ports, this.input, { status, head: responseHead }, now);
        }
        if (responseHead.isNotExecuted || status === responseFaults.MISDIRECTED_REQUEST) {
            const isOtherServer = responseHead.serverId !== undefined && responseHead.serverId !== serverId;
            const mismatch = status !== responseFaults.MISDIRECTED_REQUEST
                ? undefined
                : isOtherServer
                ? "server"
                : "weights";
            this.inFlight?.discard();
            this.finish({ kind: "not-executed", reason: `status ${status}`, mismatch });
            return;
        }
        if (responseHead.weightsVersion !== undefined) {
            this.ports.view.recordObservedVersion(serverId, responseHead.weightsVersion);
        }
        if (responseFaults.isEventStream(response)) {
            this.startStream(response, now);
        }
        else {
            this.startAnswer(response);
        }
    }

    data(chunk: Buffer): void {
        if (this.mode === "answering") {
            this.receive(chunk);
        }
        else if (this.mode === "streaming") {
            const excess = this.stream!.receive(chunk);
            if (excess !== undefined) {
                this.abandon("broken", excess);
            }
        }
    }

    end(): void {
        if (this.mode === "answering") {
            this.endAnswer();
        }
        else if (this.mode === "streaming") {
            this.endStream();
        }
    }

    failed(failure: serverRequests.RequestFailure): void {
        const wasHeldUp = this.reading.hasKeptServerWaiting(this.ports.clock.now());
        const kind = !failure.wasSent ? "not-sent" : wasHeldUp ? "held-up" : "broken";
        this.finish({ kind, reason: failure.reason });
    }

    private startAnswer(response: http.IncomingMessage): void {
        const { callerResponse, choice } = this.input;
        this.mode = "answering";
        clearTimeout(this.timer);
        this.answer = new answerReceivers.AnswerReceiver(this.ports, {
            response,
            callerResponse,
            reading: this.reading,
            owner: this.memoryOwner,
            server: choice.candidate.server.id,
        });
        if (response.statusCode! < MINIMUM_FAILURE_STATUS) {
            this.input.onBegun();
        }
    }

    private startStream(response: http.IncomingMessage, now: number): void {
        this.mode = "streaming";
        this.stream = new streamRelays.StreamRelay(this.ports, {
            response,
            callerResponse: this.input.callerResponse,
            reading: this.reading,
            owner: this.memoryOwner,
            onEvent: event => this.onEvent(event),
            onResumed: () => this.restartTimer(attemptTimeouts.nextEventMs(this.input.admission.route)),
        });
        this.ports.serverHealth.recordResponse(this.input.choice.candidate.server.id, false, now);
    }

    private receive(chunk: Buffer): void {
        const answer = this.answer!;
        const relayReason = answer.receive(chunk);
        if (answer.isEndless) {
            this.abandon("broken", "an answer without end");
            return;
        }
        if (relayReason === undefined) {
            return;
        }
        if (this.response!.statusCode! >= MINIMUM_FAILURE_STATUS && this.mayRunAgain()) {
            this.abandon("server-failure", `status ${this.response!.statusCode}, ${relayReason}`);
            return;
        }
        answer.relay(chunk, relayReason);
    }

    private onEvent(event: splitters.StreamEvent): void {
        if (!this.hasReceivedEvent) {
            this.onFirstEvent();
        }
        // Only numbered events are progress: a stalled server may still send comments.
        if (event.id !== undefined) {
            this.events++;
            this.lastEventAt = this.ports.clock.now();
            this.restartTimer(attemptTimeouts.nextEventMs(this.input.admission.route));
        }
    }

    private onFirstEvent(): void {
        this.hasReceivedEvent = true;
        this.firstEventAt = this.ports.clock.now();
        this.lastEventAt = this.firstEventAt;
        this.input.onBegun();
        this.input.onPrefillDone();
        const elapsedMs = this.ports.clock.now() - this.startedAt;
        this.ports.latencyEstimates.recordFirstEvent(
            this.input.admission.service,
            this.input.prefillQueueTokens,
            elapsedMs,
        );
    }

    private endStream(): void {
        if (this.continuesStream && this.events === 0) {
            // The caller could not tell the end from that of a whole stream.
            this.abandon("broken", "the stream was continued without an event");
        }
        else if (this.stream!.end()) {
            this.finish({ kind: "answered", reason: "" });
        }
        else {
            this.abandon("broken", "the stream ended within an event");
        }
    }

    private endAnswer(): void {
        const answer = this.answer!;
        const status = this.response!.statusCode!;
        if (status >= MINIMUM_FAILURE_STATUS) {
            const response = answer.isRelaying ? answer.endRelay() : answer.buffered();
            this.finish({ kind: "server-failure", reason: `status ${status}`, response });
            return;
        }
        const now = this.ports.clock.now();
        this.ports.serverHealth.recordResponse(this.input.choice.candidate.server.id, false, now);
        const workMs = now - this.startedAt - this.reading.pausedMs(now);
        this.ports.latencyEstimates.recordResponse(this.input.admission.service, workMs);
        if (answer.isRelaying) {
            answer.endRelay();
        }
        else {
            this.input.callerResponse.forward(answer.buffered());
        }
        this.finish({ kind: "answered", reason: "" });
    }

    private abandon(kind: retries.AttemptFailure, reason: string): void {
        this.inFlight?.abort();
        this.finish({ kind, reason });
    }

    private finish(end: AttemptEnd | undefined): void {
        const hasBegun = this.hasReceivedEvent || this.mode === "answering";
        this.mode = "finished";
        clearTimeout(this.timer);
        this.stream?.[Symbol.dispose]();
        if (end?.response === undefined) {
            this.answer?.[Symbol.dispose]();
        }
        this.resolveResult(end && { mismatch: undefined, response: undefined, isServerBusy: false, ...end, hasBegun });
    }

    /** Restarts the timeout of the attempt; undefined turns it off. */
    private restartTimer(timeoutMs: number | undefined): void {
        clearTimeout(this.timer);
        this.timer = timeoutMs === undefined
            ? undefined
            : setTimeout(() => this.abandonIfRetryable(timeoutMs), timeoutMs);
    }

    /** Abandons the attempt only if another one is allowed, since a late response is better than none. */
    private abandonIfRetryable(timeoutMs: number): void {
        if (this.reading.isPaused) {
            // The server waits for the caller.
            return;
        }
        const { admission: { route, deadlineAt }, choice, callerResponse, arrivedAt } = this.input;
        const silence = attemptTimeouts.silence(this.ports, {
            route,
            server: choice.candidate.server,
            deadlineAt,
            lastProgressAt: callerResponse.lastEventAt ?? arrivedAt,
        });
        if (silence.kind === "wait") {
            this.timer = setTimeout(() => this.abandonIfRetryable(timeoutMs + silence.checkInMs), silence.checkInMs);
            return;
        }
        // The server may be slow, or the connection silent as well as others that were opened before.
        this.ports.connectionPool.closeIdle(choice.candidate.server.address);
        if (this.isRetryAllowed()) {
            this.inFlight?.abort();
            const { isServerBusy } = silence;
            this.finish({ kind: "silent", reason: `no data for ${Math.round(timeoutMs)} ms`, isServerBusy });
        }
    }

    private isRetryAllowed(): boolean {
        const now = this.ports.clock.now();
        return this.input.hasAttemptLeft && this.ports.retryBudgets.of(this.input.admission.service, now).canRetry(now);
    }

    /** Whether a failure of the server leads to another attempt. */
    private mayRunAgain(): boolean {
        const { route, deadlineAt } = this.input.admission;
        return this.isRetryAllowed()
            && retries.isRepeatable(route.kind, route.resumable, deadlineAt - this.ports.clock.now());
    }

    private get memoryOwner(): string {
        return memoryOwners.memoryOwner(this.input.admission.customer, this.input.request);
    }

    private attemptHead(): dialects.AttemptHead {
        const { admission, choice, callerResponse, cacheScope, cachePlan } = this.input;
        const { server, weightsVersion } = choice.candidate;
        return {
            server,
            customer: admission.customer?.name,
            remainingMs: Math.max(1, Math.floor(admission.deadlineAt - this.ports.clock.now())),
            priority: admission.priority,
            cacheScope,
            weightsVersion: cacheScope === undefined ? undefined : weightsVersion,
            fetchFrom: cachePlan?.fetchFrom,
            saveTo: cachePlan?.saveTo,
            resumeAfter: callerResponse.lastEventId ?? admission.head.resumeAfter,
        };
    }
}

/** Methods whose requests declare a content length even if the body is empty. */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/** The body is buffered, so it is sent with a content length even if the caller used another transfer encoding. */
function bodyHeaders(request: http.IncomingMessage, body: Buffer): readonly string[] {
    const hasBody = body.length > 0 || METHODS_WITH_BODY.has(request.method ?? "GET");
    return hasBody ? ["Content-Length", String(body.length)] : [];
}
