/** Events and results of streams. */
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";

export type FinishReason = "stop" | "length";

export interface ServerLoad {
    readonly queuedTokens: number;
    readonly running: number;
    readonly waiting: number;
}

export interface Started {
    readonly type: "started";
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly engineBoot: string;
    readonly load?: ServerLoad;
}

export interface Token {
    readonly type: "token";
    /** Position in the whole answer. */
    readonly index: number;
    readonly text: string;
}

export interface Ended {
    readonly type: "ended";
    /** Tokens of the whole answer. */
    readonly count: number;
    readonly reason: FinishReason;
    readonly load?: ServerLoad;
}

export interface Failed {
    readonly type: "failed";
    readonly failure: failures.Failure;
}

export interface Redirected {
    readonly type: "redirected";
    /** Address of the agent that expects to serve the request sooner. */
    readonly betterAddress: string;
    readonly load?: ServerLoad;
}

export type Body = Started | Token | Ended | Failed | Redirected;

/** One numbered event of an attempt. */
export interface StreamEvent {
    readonly requestId: string;
    readonly attempt: number;
    /** 0 for the first event of the attempt; grows by one. */
    readonly sequence: number;
    readonly body: Body;
}

/**
 * What was lost while it may have run the request: `engine` when an agent saw its engine's connection break, `agent`
 * when the connection to the agent broke, which proves no crash. A request that lost an engine is a suspect.
 */
export type Loss = "none" | "agent" | "engine";

/** What the next attempt must know. */
export interface AttemptPlan {
    /** 1 for the first attempt. */
    readonly attempt: number;
    /** Tokens that the caller already has. */
    readonly tokens: readonly string[];
    /** Servers that failed this request. */
    readonly excluded: ReadonlySet<string>;
    /**
     * Excluded servers whose connection broke without proof of a crash. The trial of a suspect still goes to them while
     * they are live: if it moved on, a copy of the request could run at two servers at a time.
     */
    readonly disconnected: ReadonlySet<string>;
    /** Server named by a redirect. */
    readonly preferred?: string;
    readonly mayRedirect: boolean;
    /** Failure of the attempt before; its server is in `excluded` unless the failure does not speak against it. */
    readonly previous?: failures.Failure;
    readonly loss: Loss;
    /** An agent of any earlier attempt said that the request is a suspect; the own table may not know yet. */
    readonly toldSuspect: boolean;
    /** Remaining time in milliseconds. */
    readonly remainingMs: number;
}

export interface Attempt {
    /** Address of the agent. */
    readonly server: string;
    readonly events: AsyncIterable<StreamEvent>;
}

/**
 * Selects a server and opens the stream. The signal is aborted when the attempt is given up.
 *
 * A refusal (no server, key no longer valid) ends the request. A server that cannot be reached is reported by a
 * `failed` event or a thrown `FailureError` of the iteration, so that its name is known.
 */
export type OpenAttempt = (plan: AttemptPlan, signal: AbortSignal) => Promise<outcomes.Outcome<Attempt>>;

/** Receives the answer. The relay waits for each returned promise, which carries the back pressure of the caller. */
export interface Sink {
    started?(event: Started, server: string): void;
    token(event: Token): Promise<void> | void;
    /** An attempt ended with a failure, also when the request ends with it; for routing and the circuit breaker. */
    attemptFailed?(server: string, failure: failures.Failure): void;
    /** An attempt ended, was redirected or is complete; for the load view of routing. */
    load?(server: string, load: ServerLoad): void;
}

export interface Completion {
    /** Tokens of the whole answer, all of them delivered. */
    readonly count: number;
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly attempts: number;
    readonly server: string;
}

export interface Interruption {
    readonly failure: failures.Failure;
    /** Execution of this request as a whole; overrides the catalogue's value for the failure kind. */
    readonly execution: failures.Execution;
    /** Tokens that the caller received. */
    readonly delivered: number;
    readonly attempts: number;
}

/** The only terminal result of a stream. */
export type Result = outcomes.Outcome<Completion, Interruption>;
