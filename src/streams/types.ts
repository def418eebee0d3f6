/** Events and results of streams. */
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";

export type FinishReason = "stop" | "length";

/** Load that a server reports with its events. */
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
    /** Position in the whole response, starting at 0. */
    readonly index: number;
    readonly text: string;
}

export interface Ended {
    readonly type: "ended";
    /** Number of tokens in the whole response. */
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

export type EventBody = Started | Token | Ended | Failed | Redirected;

/** One event of an attempt, with its sequence number. */
export interface StreamEvent {
    readonly requestId: string;
    readonly attempt: number;
    /** 0 for the first event of the attempt, then increasing by 1. */
    readonly sequence: number;
    readonly body: EventBody;
}

/**
 * Connection that was lost while the request may have been running. `engine`: the agent lost the connection to its
 * engine, which makes the request a crash suspect. `agent`: the connection to the agent broke, which does not prove a
 * crash.
 */
export type LostConnection = "none" | "agent" | "engine";

/** Parameters of the next attempt. */
export interface AttemptPlan {
    /** 1 for the first attempt. */
    readonly attempt: number;
    /** Tokens that the caller has received. */
    readonly tokens: readonly string[];
    /** Addresses of servers on which earlier attempts of this request failed. */
    readonly excluded: ReadonlySet<string>;
    /**
     * Excluded servers whose connection broke without proof of a crash. The trial run of a suspect may still use them
     * while they are live; on another server, two copies of the request could run at the same time.
     */
    readonly disconnected: ReadonlySet<string>;
    /** Server to use if possible: the target of a redirect, or the same server again. */
    readonly preferred?: string;
    readonly mayRedirect: boolean;
    /** Failure of the previous attempt. Its server is in `excluded` if the failure is attributed to the server. */
    readonly previousFailure?: failures.Failure;
    readonly lostConnection: LostConnection;
    /** Whether an agent reported the request as a suspect; the table of this entry may not contain it yet. */
    readonly flaggedAsSuspect: boolean;
    /** Time until the deadline in milliseconds. */
    readonly remainingMs: number;
}

export interface Attempt {
    /** Address of the agent. */
    readonly server: string;
    readonly events: AsyncIterable<StreamEvent>;
}

/**
 * Selects a server and opens the stream. The signal is aborted when the attempt ends.
 *
 * A failure outcome (no server available, key no longer valid) ends the request. An unreachable server is reported by a
 * `failed` event or by a `FailureError` that the iteration throws, so that its address is known.
 */
export type OpenAttempt = (plan: AttemptPlan, signal: AbortSignal) => Promise<outcomes.Outcome<Attempt>>;

/** Receives the response. The relay applies back pressure by awaiting each returned promise. */
export interface Sink {
    started?(event: Started, server: string): void;
    token(event: Token): Promise<void> | void;
    /** Called for each failed attempt, including the last one; used by routing and the circuit breaker. */
    attemptFailed?(server: string, failure: failures.Failure): void;
    /** Called for each event that reports the load of a server; used by routing. */
    load?(server: string, load: ServerLoad): void;
}

export interface Completion {
    /** Number of tokens in the whole response, all of them delivered. */
    readonly count: number;
    readonly reason: FinishReason;
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly attempts: number;
    readonly server: string;
}

export interface Interruption {
    readonly failure: failures.Failure;
    /** Whether the request as a whole may have run; overrides the value of the catalogue for the failure kind. */
    readonly execution: failures.Execution;
    /** Number of tokens that the caller received. */
    readonly delivered: number;
    readonly attempts: number;
}

/** Terminal result of a stream. */
export type Result = outcomes.Outcome<Completion, Interruption>;
