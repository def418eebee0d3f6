/** One attempt of a call at a server, with the relay of its answer. */
import type * as http from "node:http";
import type * as fleet from "../fleet/types.js";
import type * as cachePlans from "../placement/cache-plan.js";
import type * as placement from "../placement/types.js";
import type * as answers from "./answer.js";
import * as attempts from "./attempt.js";
import type * as dialects from "./dialect.js";
import * as splitters from "./event-splitter.js";
import type * as retries from "./retry-decision.js";
import type * as types from "./types.js";

/** Patience in milliseconds for a repeatable call without an answer, as a multiple of the usual time, and its floor. */
const PLAIN_PATIENCE_FACTOR = 4;
const LEAST_PLAIN_PATIENCE_MS = 300;
/** Patience in milliseconds for the first event of a resumable stream; callers leave after two seconds. */
const FIRST_EVENT_PATIENCE_MS = 1500;
/** Patience in milliseconds for the next event of a resumable stream. */
const NEXT_EVENT_PATIENCE_MS = 900;
const MISDIRECTED = 421;
const EVENT_STREAM = "text/event-stream";

export interface ExchangeAdmission {
    readonly head: fleet.CallHead;
    readonly route: fleet.Route;
    readonly service: string;
    readonly customer: fleet.Customer | undefined;
    readonly body: Buffer;
    readonly expiresAt: number;
    readonly priority: number;
}

export interface ExchangeInput {
    readonly admission: ExchangeAdmission;
    readonly choice: placement.PlacementDecision & { readonly kind: "server"; };
    readonly request: http.IncomingMessage;
    readonly answer: answers.Answer;
    /** Called when the server has read the prompt: its first event arrived. */
    readonly promptRead: () => void;
    /** Prompt tokens that the server reads before the first event of this call, its own included. */
    readonly tokensAhead: number;
    /** Text under which cached parts are found; undefined without a model. */
    readonly cacheScope: string | undefined;
    readonly cachePlan: cachePlans.CachePlan | undefined;
    /** Another server may run the call after this one. */
    readonly hasAttemptLeft: boolean;
}

export interface ExchangeEnd {
    readonly kind: "answered" | retries.AttemptEnd;
    readonly reason: string;
    /** The server at the address is another one, or has other weights, than the attempt named. */
    readonly mismatch: "server" | "weights" | undefined;
    /** A failure of the server, whole. */
    readonly response: answers.ServerResponse | undefined;
}

type Mode = "waiting" | "whole" | "stream" | "over";

export class Exchange implements attempts.AttemptListener {
    private mode: Mode = "waiting";
    private readonly startedAt: number;
    private readonly settled: Promise<ExchangeEnd | undefined>;
    private settle: (end: ExchangeEnd | undefined) => void = () => undefined;
    private attempt: attempts.Attempt | undefined;
    private patience: NodeJS.Timeout | undefined;
    private response: http.IncomingMessage | undefined;
    private hasEvent = false;
    private readonly chunks: Buffer[] = [];
    private readonly splitter = new splitters.EventSplitter();

    constructor(private readonly ports: types.CallPorts, private readonly input: ExchangeInput) {
        this.startedAt = ports.clock.now();
        this.settled = new Promise(resolve => {
            this.settle = resolve;
        });
    }

    /** Runs until the answer is relayed or the attempt has failed. Nothing after an abort. */
    run(): Promise<ExchangeEnd | undefined> {
        const { request, admission } = this.input;
        const { server } = this.input.choice.candidate;
        const headers = [
            ...this.ports.dialect.passedHeaders(request.rawHeaders),
            ...this.ports.dialect.attemptHeaders(this.attemptHead()),
            ...bodyHeaders(request, admission.body),
        ];
        this.attempt = attempts.start(
            {
                address: server.address,
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers,
                body: admission.body,
                mayReuseConnection: admission.route.kind !== "at-most-once",
            },
            this.ports.pool,
            this,
        );
        this.watchPatience(this.firstPatienceMs());
        return this.settled;
    }

    abort(): void {
        this.attempt?.abort();
        this.finish(undefined);
    }

    head(response: http.IncomingMessage): void {
        const answer = this.ports.dialect.decodeAnswer(response.headers);
        const status = response.statusCode ?? 0;
        const now = this.ports.clock.now();
        this.response = response;
        const fault = this.faultOf(status, answer, response);
        if (fault !== undefined) {
            this.breakAttempt("broken", fault);
            return;
        }
        const serverId = this.input.choice.candidate.server.id;
        if (answer.isNotExecuted || status === MISDIRECTED) {
            const isOther = answer.server !== undefined && answer.server !== serverId;
            const mismatch = status !== MISDIRECTED ? undefined : isOther ? "server" : "weights";
            this.finish({ kind: "not-executed", reason: `status ${status}`, mismatch, response: undefined });
            return;
        }
        if (answer.weightsVersion !== undefined) {
            this.ports.view.sawVersion(serverId, answer.weightsVersion);
        }
        const isStream = isSuccess(status) && (response.headers["content-type"] ?? "").startsWith(EVENT_STREAM);
        this.mode = isStream ? "stream" : "whole";
        if (!isStream) {
            clearTimeout(this.patience);
            return;
        }
        this.ports.trust.recordResponse(serverId, false, now);
    }

    data(chunk: Buffer): void {
        if (this.mode === "whole") {
            this.chunks.push(chunk);
            return;
        }
        if (this.mode === "stream") {
            this.relay(chunk);
        }
    }

    end(): void {
        if (this.mode === "stream") {
            this.endStream();
            return;
        }
        if (this.mode === "whole") {
            this.endWhole();
        }
    }

    failed(failure: attempts.AttemptFailure): void {
        const kind = failure.wasSent ? "broken" : "not-sent";
        this.finish({ kind, reason: failure.reason, mismatch: undefined, response: undefined });
    }

    private relay(chunk: Buffer): void {
        const events = this.splitter.push(chunk);
        if (events === undefined) {
            this.breakAttempt("broken", "an event is too large");
            return;
        }
        for (const event of events) {
            this.relayEvent(event);
        }
    }

    private relayEvent(event: splitters.StreamEvent): void {
        const { answer } = this.input;
        if (event.id !== undefined && answer.lastEvent !== undefined && event.id <= answer.lastEvent) {
            return;
        }
        if (!this.hasEvent) {
            this.firstEvent();
        }
        this.watchPatience(this.isResumable ? NEXT_EVENT_PATIENCE_MS : undefined);
        if (!answer.hasStarted) {
            answer.startStream(this.response!.statusCode!, this.response!.rawHeaders);
        }
        answer.lastEvent = event.id ?? answer.lastEvent;
        if (!answer.write(event.bytes)) {
            this.attempt?.pause();
            answer.onDrain(() => this.attempt?.resume());
        }
    }

    private firstEvent(): void {
        this.hasEvent = true;
        this.input.promptRead();
        const elapsedMs = this.ports.clock.now() - this.startedAt;
        this.ports.paces.recordFirstEvent(this.input.admission.service, this.input.tokensAhead, elapsedMs);
    }

    private endStream(): void {
        if (this.splitter.remainder.length > 0) {
            this.breakAttempt("broken", "the stream ended inside an event");
            return;
        }
        if (!this.input.answer.hasStarted) {
            this.input.answer.startStream(this.response!.statusCode!, this.response!.rawHeaders);
        }
        this.input.answer.endStream();
        this.finish({ kind: "answered", reason: "", mismatch: undefined, response: undefined });
    }

    private endWhole(): void {
        const status = this.response!.statusCode!;
        const whole = { status, rawHeaders: this.response!.rawHeaders, body: Buffer.concat(this.chunks) };
        if (status >= 500) {
            this.finish({ kind: "server-failure", reason: `status ${status}`, mismatch: undefined, response: whole });
            return;
        }
        const now = this.ports.clock.now();
        this.ports.trust.recordResponse(this.input.choice.candidate.server.id, false, now);
        this.ports.paces.recordResponse(this.input.admission.service, now - this.startedAt);
        if (!this.input.answer.hasStarted) {
            this.input.answer.pass(whole);
        }
        this.finish({ kind: "answered", reason: "", mismatch: undefined, response: undefined });
    }

    /** Why the answer can't be the server's answer to this call. */
    private faultOf(
        status: number,
        answer: dialects.AnswerHead,
        response: http.IncomingMessage,
    ): string | undefined {
        if (answer.callId !== undefined && answer.callId !== this.input.admission.head.id) {
            return "answer to another call";
        }
        if (isSuccess(status) && (!answer.isSealed || answer.callId === undefined)) {
            return "answer that the server does not vouch for";
        }
        if (response.headers["content-encoding"] !== undefined) {
            return "answer in an encoding that was not asked for";
        }
        return this.input.answer.hasStarted && !isSuccess(status) && !answer.isNotExecuted && status !== MISDIRECTED
            ? `the stream could not go on: status ${status}`
            : undefined;
    }

    private breakAttempt(kind: retries.AttemptEnd, reason: string): void {
        this.attempt?.abort();
        this.finish({ kind, reason, mismatch: undefined, response: undefined });
    }

    private finish(end: ExchangeEnd | undefined): void {
        this.mode = "over";
        clearTimeout(this.patience);
        this.settle(end);
    }

    private get isResumable(): boolean {
        return this.input.admission.route.kind === "stream" && this.input.admission.route.resumable;
    }

    private firstPatienceMs(): number | undefined {
        const { route, service } = this.input.admission;
        if (this.isResumable) {
            return FIRST_EVENT_PATIENCE_MS;
        }
        const usualMs = this.ports.paces.get(service).callMs;
        return route.kind === "idempotent"
            ? Math.max(LEAST_PLAIN_PATIENCE_MS, usualMs * PLAIN_PATIENCE_FACTOR)
            : undefined;
    }

    private watchPatience(patienceMs: number | undefined): void {
        clearTimeout(this.patience);
        this.patience = patienceMs === undefined
            ? undefined
            : setTimeout(() => this.loseIfRepeatable(patienceMs), patienceMs);
    }

    /** Gives the attempt up only when another one is allowed; a late answer is better than none. */
    private loseIfRepeatable(patienceMs: number): void {
        const now = this.ports.clock.now();
        const hasBudget = this.ports.budgets.of(this.input.admission.service, now).canRetry(now);
        if (this.input.hasAttemptLeft && hasBudget) {
            this.breakAttempt("silent", `nothing for ${Math.round(patienceMs)} ms`);
        }
    }

    private attemptHead(): dialects.AttemptHead {
        const { admission, choice, answer, cacheScope, cachePlan } = this.input;
        const { server, weightsVersion } = choice.candidate;
        return {
            server,
            customer: admission.customer?.name,
            remainingMs: Math.max(1, Math.floor(admission.expiresAt - this.ports.clock.now())),
            priority: admission.priority,
            cacheScope,
            weightsVersion: cacheScope === undefined ? undefined : weightsVersion,
            fetchFrom: cachePlan?.fetchFrom,
            saveTo: cachePlan?.saveTo,
            resumeAfter: answer.lastEvent ?? admission.head.resumeAfter,
        };
    }
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Methods whose calls have a body even when it is empty. */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(["POST", "PUT", "PATCH"]);

/** A body is sent with its length, whatever the caller used. */
function bodyHeaders(request: http.IncomingMessage, body: Buffer): readonly string[] {
    const hasBody = body.length > 0 || METHODS_WITH_BODY.has(request.method ?? "GET");
    return hasBody ? ["Content-Length", String(body.length)] : [];
}
