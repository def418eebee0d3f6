/** Relays the answer of one request to its caller, over as many attempts as needed and allowed. */
import type * as clock from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as failures from "../core/failure.js";
import * as continuation from "./continuation.js";
import * as sequencer from "./sequencer.js";
import type * as types from "./types.js";
import * as waiting from "./waiting.js";

export interface RelayOptions {
    readonly requestId: string;
    readonly clock: clock.Clock;
    readonly journal: event.Journal;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Longest silence of a server before its first token; covers queueing, and after the start the prefill. */
    readonly firstTokenTimeoutMs: number;
    /** Longest time between two tokens. A slow stream that keeps delivering is ended by the deadline only. */
    readonly tokenTimeoutMs: number;
    readonly limits: continuation.Limits;
    /** Aborted with a `FailureError` as reason, for example `key-revoked`; any other reason is a disconnect. */
    readonly signal: AbortSignal;
}

/** Without a reason, each `abort` creates an exception with a stack trace. */
const ATTEMPT_ENDED = new Error("the attempt ended");

/** Drives the attempts of one request. `run` is called once and returns the only terminal result. */
export class StreamRelay {
    private readonly tokens: string[] = [];

    constructor(
        private readonly open: types.OpenAttempt,
        private readonly sink: types.Sink,
        private readonly options: RelayOptions,
    ) {}

    /** Never rejects. The sink receives nothing after the result. */
    async run(): Promise<types.Result> {
        let progress = continuation.initialProgress;
        for (;;) {
            const run = new AttemptRun(progress, this.tokens, this.open, this.sink, this.options);
            const end = await run.run();
            const step = continuation.next(progress, run.trace, end, this.tokens.length, this.options.limits);
            if (step.kind === "finish") {
                return step.result;
            }
            this.report(run.trace.server, end);
            progress = step.progress;
        }
    }

    private report(server: string, end: continuation.AttemptEnd): void {
        if (end.kind === "failed") {
            const reason = `${end.failure.kind}: ${end.failure.detail}`;
            const fields = { request: this.options.requestId, server, tokens: this.tokens.length, reason };
            this.options.journal.emit("stream-continued", fields);
        }
    }
}

/** One attempt: opens a stream, delivers its events in order and says how it ended. */
class AttemptRun {
    trace: continuation.Trace = { server: "", sent: false, running: false, promptTokens: 0, cachedTokens: 0 };
    private readonly abort = new AbortController();
    private readonly waiter: waiting.Waiter;
    private state: sequencer.State;
    private deliveredToken = false;
    private progressAt: number;

    constructor(
        private readonly progress: continuation.Progress,
        private readonly tokens: string[],
        private readonly open: types.OpenAttempt,
        private readonly sink: types.Sink,
        private readonly options: RelayOptions,
    ) {
        this.state = sequencer.begin(options.requestId, progress.attempt, tokens.length);
        this.progressAt = options.clock.now();
        this.waiter = new waiting.Waiter(options.clock, options.signal);
    }

    async run(): Promise<continuation.AttemptEnd> {
        try {
            const end = await this.openAndRead();
            if (end.kind === "failed" && this.trace.server !== "") {
                this.sink.attemptFailed?.(this.trace.server, end.failure);
            }
            return end;
        }
        catch (error) {
            return { kind: "stopped", failure: failureOf(error, "internal-error") };
        }
        finally {
            this.abort.abort(ATTEMPT_ENDED);
            this.waiter[Symbol.dispose]();
        }
    }

    private async openAndRead(): Promise<continuation.AttemptEnd> {
        const stop = this.stopReason();
        if (stop !== undefined) {
            return stop;
        }
        this.trace = { ...this.trace, sent: true };
        const opened = await this.wait(this.open(this.plan(), this.abort.signal), this.options.deadline);
        if (opened.kind !== "value") {
            return opened.kind === "error"
                ? { kind: "stopped", failure: failureOf(opened.error, "internal-error") }
                : this.stopReason() ?? stopped("deadline-exceeded", "no server was selected in time");
        }
        if (!opened.value.ok) {
            return { kind: "refused", failure: opened.value.failure };
        }
        const attempt = opened.value.value;
        this.trace = { ...this.trace, server: attempt.server };
        this.progressAt = this.options.clock.now();
        const iterator = attempt.events[Symbol.asyncIterator]();
        try {
            return await this.read(iterator);
        }
        finally {
            this.abort.abort(ATTEMPT_ENDED);
            // Not awaited: a server that hangs must not delay the next attempt.
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
            previous: this.progress.previous,
            loss: this.progress.loss,
            toldSuspect: this.progress.toldSuspect,
            remainingMs: this.options.deadline - this.options.clock.now(),
        };
    }

    private async read(iterator: AsyncIterator<types.StreamEvent>): Promise<continuation.AttemptEnd> {
        for (;;) {
            const limit = Math.min(this.options.deadline, this.progressAt + this.silenceLimit());
            const waited = await this.wait(iterator.next(), limit);
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

    private async accept(received: types.StreamEvent): Promise<continuation.AttemptEnd | undefined> {
        const accepted = sequencer.accept(this.state, received);
        this.state = accepted.state;
        for (const step of accepted.steps) {
            const end = await this.take(step);
            if (end !== undefined) {
                return end;
            }
        }
        return undefined;
    }

    private async take(step: sequencer.Step): Promise<continuation.AttemptEnd | undefined> {
        if (step.kind === "drop") {
            const fields = { request: this.options.requestId, reason: step.reason };
            this.options.journal.emit("stream-event-dropped", fields);
            return undefined;
        }
        if (step.kind === "violation") {
            return failed("stream-inconsistent", `${this.describe()}: ${step.detail}`);
        }
        const end = await this.deliver(step.body);
        // Dropped events are no progress, so a server that only repeats itself counts as stalled. The time that the
        // caller takes is not the server's.
        this.progressAt = this.options.clock.now();
        return end;
    }

    private async deliver(body: types.Body): Promise<continuation.AttemptEnd | undefined> {
        if ("load" in body && body.load !== undefined) {
            this.sink.load?.(this.trace.server, body.load);
        }
        switch (body.type) {
            case "started":
                this.trace = { ...this.trace, running: true, ...tokenCounts(body) };
                this.sink.started?.(body, this.trace.server);
                return undefined;
            case "token":
                this.trace = { ...this.trace, running: true };
                return await this.deliverToken(body);
            case "ended":
                return { kind: "complete", ended: body };
            case "failed":
                return { kind: "failed", failure: body.failure };
            case "redirected":
                return this.progress.redirected || this.trace.running
                    ? failed("stream-inconsistent", `${this.describe()}: redirect where none is allowed`)
                    : { kind: "redirected", address: body.betterAddress };
        }
    }

    private async deliverToken(token: types.Token): Promise<continuation.AttemptEnd | undefined> {
        const stop = this.stopReason();
        if (stop !== undefined) {
            return stop;
        }
        this.deliveredToken = true;
        this.tokens.push(token.text);
        const accepted = this.sink.token(token);
        if (accepted === undefined) {
            return undefined;
        }
        const waited = await this.wait(accepted, this.options.deadline);
        if (waited.kind === "value") {
            return undefined;
        }
        return waited.kind === "error"
            ? stopped("caller-disconnected", `after ${this.tokens.length} tokens`)
            : this.stopReason() ?? stopped("deadline-exceeded", "the caller did not take the answer in time");
    }

    private silenceLimit(): number {
        return this.deliveredToken ? this.options.tokenTimeoutMs : this.options.firstTokenTimeoutMs;
    }

    private wait<Value>(promise: Promise<Value>, limit: number): Promise<waiting.Waited<Value>> {
        return this.waiter.wait(promise, limit);
    }

    private stopReason(): continuation.AttemptEnd | undefined {
        const { signal, clock: time, deadline } = this.options;
        if (signal.aborted) {
            return { kind: "stopped", failure: failureOf(signal.reason, "caller-disconnected") };
        }
        return time.now() >= deadline
            ? stopped("deadline-exceeded", `after ${this.tokens.length} tokens`)
            : undefined;
    }

    private describe(): string {
        return `server ${this.trace.server}, attempt ${this.progress.attempt}, after ${this.tokens.length} tokens`;
    }
}

function tokenCounts(started: types.Started): Pick<continuation.Trace, "promptTokens" | "cachedTokens"> {
    return { promptTokens: started.promptTokens, cachedTokens: started.cachedTokens };
}

function failed(kind: failures.FailureKind, detail: string): continuation.AttemptEnd {
    return { kind: "failed", failure: { kind, detail } };
}

function stopped(kind: failures.FailureKind, detail: string): continuation.AttemptEnd {
    return { kind: "stopped", failure: { kind, detail } };
}

function failureOf(error: unknown, otherwise: failures.FailureKind): failures.Failure {
    return error instanceof failures.FailureError ? error.failure : { kind: otherwise, detail: String(error) };
}
