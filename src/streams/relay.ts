/** Relays the response to one request to its caller and retries failed attempts within the limits. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as failures from "../core/failure.js";
import * as continuation from "./continuation.js";
import * as sequencer from "./sequencer.js";
import type * as types from "./types.js";
import * as waiters from "./waiter.js";

export interface RelayOptions {
    readonly requestId: string;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Maximum time in milliseconds without an event before the first token; covers queueing and then the prefill. */
    readonly firstTokenTimeoutMs: number;
    /** Maximum time in milliseconds between two tokens. A slow but progressing stream ends only at the deadline. */
    readonly tokenTimeoutMs: number;
    readonly limits: continuation.Limits;
    /** Aborted with a `FailureError`, for example `key-revoked`; any other reason means a caller disconnect. */
    readonly signal: AbortSignal;
}

/** Passed to `abort`, which otherwise creates an exception with a stack trace each time. */
const ATTEMPT_ENDED = new Error("the attempt ended");

/** Runs the attempts of one request. `run` must be called only once. */
export class StreamRelay {
    private readonly tokens: string[] = [];

    constructor(
        private readonly open: types.OpenAttempt,
        private readonly sink: types.Sink,
        private readonly options: RelayOptions,
    ) {}

    /** Returns the terminal result. Never rejects; the sink receives nothing afterwards. */
    async run(): Promise<types.Result> {
        let progress = continuation.initialProgress;
        for (;;) {
            const runner = new AttemptRunner(progress, this.tokens, this.open, this.sink, this.options);
            const end = await runner.run();
            const decision = continuation.decide(
                progress,
                runner.summary,
                end,
                this.tokens.length,
                this.options.limits,
            );
            if (decision.kind === "finish") {
                return decision.result;
            }
            this.logNextAttempt(runner.summary.server, end);
            progress = decision.progress;
        }
    }

    private logNextAttempt(server: string, end: continuation.AttemptOutcome): void {
        if (end.kind === "failed") {
            const reason = `${end.failure.kind}: ${end.failure.detail}`;
            const fields = { request: this.options.requestId, server, tokens: this.tokens.length, reason };
            this.options.journal.emit("stream-continued", fields);
        }
    }
}

/** Runs one attempt: opens a stream, delivers its events in order and returns how it ended. */
class AttemptRunner {
    summary: continuation.AttemptSummary = {
        server: "",
        sent: false,
        running: false,
        promptTokens: 0,
        cachedTokens: 0,
    };
    private readonly abortController = new AbortController();
    private readonly waiter: waiters.Waiter;
    private state: sequencer.State;
    private hasDeliveredToken = false;
    private lastProgressAt: number;

    constructor(
        private readonly progress: continuation.Progress,
        private readonly tokens: string[],
        private readonly open: types.OpenAttempt,
        private readonly sink: types.Sink,
        private readonly options: RelayOptions,
    ) {
        this.state = sequencer.initialState(options.requestId, progress.attempt, tokens.length);
        this.lastProgressAt = options.clock.now();
        this.waiter = new waiters.Waiter(options.clock, options.signal);
    }

    async run(): Promise<continuation.AttemptOutcome> {
        try {
            const end = await this.openAndRead();
            if (end.kind === "failed" && this.summary.server !== "") {
                this.sink.attemptFailed?.(this.summary.server, end.failure);
            }
            return end;
        }
        catch (error) {
            return { kind: "stopped", failure: failureOf(error, "internal-error") };
        }
        finally {
            this.abortController.abort(ATTEMPT_ENDED);
            this.waiter[Symbol.dispose]();
        }
    }

    private async openAndRead(): Promise<continuation.AttemptOutcome> {
        const stop = this.stopReason();
        if (stop !== undefined) {
            return stop;
        }
        this.summary = { ...this.summary, sent: true };
        const openResult = await this.wait(this.open(this.plan(), this.abortController.signal), this.options.deadline);
        if (openResult.kind !== "value") {
            return openResult.kind === "error"
                ? { kind: "stopped", failure: failureOf(openResult.error, "internal-error") }
                : this.stopReason() ?? stopped("deadline-exceeded", "no server was selected in time");
        }
        if (!openResult.value.ok) {
            return { kind: "refused", failure: openResult.value.failure };
        }
        const attempt = openResult.value.value;
        this.summary = { ...this.summary, server: attempt.server };
        this.lastProgressAt = this.options.clock.now();
        const iterator = attempt.events[Symbol.asyncIterator]();
        try {
            return await this.read(iterator);
        }
        finally {
            this.abortController.abort(ATTEMPT_ENDED);
            // Not awaited, so that an unresponsive server does not delay the next attempt.
            Promise.resolve(iterator.return?.()).catch(() => undefined);
        }
    }

    private plan(): types.AttemptPlan {
        return {
            attempt: this.progress.attempt,
            tokens: [...this.tokens],
            excluded: this.progress.excluded,
            disconnected: this.progress.disconnected,
            preferred: this.progress.preferred,
            mayRedirect: !this.progress.redirected,
            previousFailure: this.progress.previousFailure,
            lostConnection: this.progress.lostConnection,
            flaggedAsSuspect: this.progress.flaggedAsSuspect,
            remainingMs: this.options.deadline - this.options.clock.now(),
        };
    }

    private async read(iterator: AsyncIterator<types.StreamEvent>): Promise<continuation.AttemptOutcome> {
        for (;;) {
            const deadline = Math.min(this.options.deadline, this.lastProgressAt + this.idleTimeoutMs());
            const waited = await this.wait(iterator.next(), deadline);
            if (waited.kind === "aborted" || waited.kind === "timeout") {
                return this.stopReason() ?? failed("stream-stalled", this.describe());
            }
            if (waited.kind === "error") {
                return { kind: "failed", failure: failureOf(waited.error, "stream-incomplete") };
            }
            if (waited.value.done) {
                return failed("stream-incomplete", this.describe());
            }
            const end = await this.accept(waited.value.value);
            if (end !== undefined) {
                return end;
            }
        }
    }

    private async accept(event: types.StreamEvent): Promise<continuation.AttemptOutcome | undefined> {
        const transition = sequencer.accept(this.state, event);
        this.state = transition.state;
        for (const step of transition.steps) {
            const end = await this.applyStep(step);
            if (end !== undefined) {
                return end;
            }
        }
        return undefined;
    }

    private async applyStep(step: sequencer.Step): Promise<continuation.AttemptOutcome | undefined> {
        if (step.kind === "drop") {
            const fields = { request: this.options.requestId, reason: step.reason };
            this.options.journal.emit("stream-event-dropped", fields);
            return undefined;
        }
        if (step.kind === "violation") {
            return failed("stream-inconsistent", `${this.describe()}: ${step.detail}`);
        }
        const end = await this.deliver(step.body);
        // Dropped events do not count as progress, so a server that only repeats events times out. The clock is read
        // after the delivery, so that a slow caller does not count against the server.
        this.lastProgressAt = this.options.clock.now();
        return end;
    }

    private async deliver(body: types.EventBody): Promise<continuation.AttemptOutcome | undefined> {
        if ("load" in body && body.load !== undefined) {
            this.sink.load?.(this.summary.server, body.load);
        }
        switch (body.type) {
            case "started":
                this.summary = { ...this.summary, running: true, ...tokenCounts(body) };
                this.sink.started?.(body, this.summary.server);
                return undefined;
            case "token":
                this.summary = { ...this.summary, running: true };
                return await this.deliverToken(body);
            case "ended":
                return { kind: "complete", ended: body };
            case "failed":
                return { kind: "failed", failure: body.failure };
            case "redirected":
                return this.progress.redirected || this.summary.running
                    ? failed("stream-inconsistent", `${this.describe()}: unexpected redirect`)
                    : { kind: "redirected", address: body.betterAddress };
        }
    }

    private async deliverToken(token: types.Token): Promise<continuation.AttemptOutcome | undefined> {
        const stop = this.stopReason();
        if (stop !== undefined) {
            return stop;
        }
        this.hasDeliveredToken = true;
        this.tokens.push(token.text);
        const flushed = this.sink.token(token);
        if (flushed === undefined) {
            return undefined;
        }
        const waited = await this.wait(flushed, this.options.deadline);
        if (waited.kind === "value") {
            return undefined;
        }
        return waited.kind === "error"
            ? stopped("caller-disconnected", `after ${this.tokens.length} tokens`)
            : this.stopReason() ?? stopped("deadline-exceeded", "the caller did not read the response in time");
    }

    private idleTimeoutMs(): number {
        return this.hasDeliveredToken ? this.options.tokenTimeoutMs : this.options.firstTokenTimeoutMs;
    }

    private wait<Value>(promise: Promise<Value>, deadline: number): Promise<waiters.WaitResult<Value>> {
        return this.waiter.wait(promise, deadline);
    }

    private stopReason(): continuation.AttemptOutcome | undefined {
        const { signal, clock: time, deadline } = this.options;
        if (signal.aborted) {
            return { kind: "stopped", failure: failureOf(signal.reason, "caller-disconnected") };
        }
        return time.now() >= deadline
            ? stopped("deadline-exceeded", `after ${this.tokens.length} tokens`)
            : undefined;
    }

    private describe(): string {
        return `server ${this.summary.server}, attempt ${this.progress.attempt}, after ${this.tokens.length} tokens`;
    }
}

function tokenCounts(started: types.Started): Pick<continuation.AttemptSummary, "promptTokens" | "cachedTokens"> {
    return { promptTokens: started.promptTokens, cachedTokens: started.cachedTokens };
}

function failed(kind: failures.FailureKind, detail: string): continuation.AttemptOutcome {
    return { kind: "failed", failure: { kind, detail } };
}

function stopped(kind: failures.FailureKind, detail: string): continuation.AttemptOutcome {
    return { kind: "stopped", failure: { kind, detail } };
}

function failureOf(error: unknown, fallback: failures.FailureKind): failures.Failure {
    return error instanceof failures.FailureError ? error.failure : { kind: fallback, detail: String(error) };
}
