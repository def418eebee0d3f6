/**
 * Circuit breaker of one backend server.
 *
 * A closed circuit counts outcomes. An open one rejects all requests until a backoff delay has passed. A half-open one
 * admits one trial request at a time: enough successful trials close it, and a failed one opens it again with a longer
 * delay. Times are monotonic milliseconds.
 */
import * as backoff from "./backoff.js";

export type CircuitState = "closed" | "open" | "half-open";

const WINDOW_MS = 10_000;
const BUCKET_MS = 1000;
/** The failure ratio is only used from this many outcomes on; consecutive failures open the circuit without it. */
const MINIMUM_OUTCOMES = 10;
const FAILURE_RATIO = 0.5;
const CONSECUTIVE_FAILURE_LIMIT = 5;
const SUCCESSFUL_TRIALS_TO_CLOSE = 2;
/** Time after which a trial without a reported outcome no longer blocks the next one. */
const TRIAL_TIMEOUT_MS = 30_000;
const OPEN_BACKOFF: backoff.BackoffPolicy = { initialMs: 500, maximumMs: 15_000 };

/** Outcomes of one second. Without buckets, the work per request would grow with the outcomes in the window. */
interface Bucket {
    /** Start time in milliseconds. */
    readonly start: number;
    outcomes: number;
    failures: number;
}

export class CircuitBreaker {
    private currentState: CircuitState = "closed";
    private buckets: Bucket[] = [];
    private consecutiveFailures = 0;
    private consecutiveOpenings = 0;
    private openUntil = Number.NEGATIVE_INFINITY;
    private trialStartedAt: number | undefined;
    private successfulTrials = 0;

    get state(): CircuitState {
        return this.currentState;
    }

    /** Whether the server may receive a request now; used to rank candidates, so it does not start a trial. */
    isAvailable(now: number): boolean {
        switch (this.currentState) {
            case "closed":
                return true;
            case "open":
                return now >= this.openUntil;
            case "half-open":
                return this.trialStartedAt === undefined || now >= this.trialStartedAt + TRIAL_TIMEOUT_MS;
        }
    }

    /** Requests permission to send a request. When it returns true, the outcome must be recorded. */
    tryAcquire(now: number): boolean {
        if (!this.isAvailable(now)) {
            return false;
        }
        if (this.currentState !== "closed") {
            this.successfulTrials = this.currentState === "open" ? 0 : this.successfulTrials;
            this.currentState = "half-open";
            this.trialStartedAt = now;
        }
        return true;
    }

    recordSuccess(now: number): void {
        this.consecutiveFailures = 0;
        if (this.currentState === "half-open") {
            this.trialStartedAt = undefined;
            this.successfulTrials++;
            if (this.successfulTrials >= SUCCESSFUL_TRIALS_TO_CLOSE) {
                this.close();
            }
            return;
        }
        this.count(now, false);
    }

    /** `random` is uniform in [0, 1) and spreads the trials of many entries over time. */
    recordFailure(now: number, random: number): void {
        this.consecutiveFailures++;
        if (this.currentState === "half-open") {
            this.open(now, random);
            return;
        }
        // Failures of requests that were in flight when the circuit opened are not counted again.
        if (this.currentState === "closed") {
            this.count(now, true);
            if (this.isFailing()) {
                this.open(now, random);
            }
        }
    }

    /** Ends a request whose outcome is no evidence about the server, for example because the caller disconnected. */
    recordIgnored(): void {
        this.trialStartedAt = undefined;
    }

    /** Closes the circuit and discards all counts, for a new incarnation of the server. */
    reset(): void {
        this.close();
    }

    private isFailing(): boolean {
        const failures = this.buckets.reduce((sum, bucket) => sum + bucket.failures, 0);
        const outcomes = this.buckets.reduce((sum, bucket) => sum + bucket.outcomes, 0);
        return this.consecutiveFailures >= CONSECUTIVE_FAILURE_LIMIT
            || (outcomes >= MINIMUM_OUTCOMES && failures >= outcomes * FAILURE_RATIO);
    }

    private open(now: number, random: number): void {
        this.currentState = "open";
        this.openUntil = now + OPEN_BACKOFF.initialMs / 2
            + backoff.delayMs(OPEN_BACKOFF, this.consecutiveOpenings, random);
        this.consecutiveOpenings++;
        this.trialStartedAt = undefined;
        this.buckets = [];
    }

    private close(): void {
        this.currentState = "closed";
        this.consecutiveOpenings = 0;
        this.consecutiveFailures = 0;
        this.buckets = [];
        this.trialStartedAt = undefined;
        this.successfulTrials = 0;
    }

    private count(now: number, isFailure: boolean): void {
        const start = Math.floor(now / BUCKET_MS) * BUCKET_MS;
        let bucket = this.buckets.at(-1);
        if (bucket === undefined || bucket.start < start) {
            bucket = { start, outcomes: 0, failures: 0 };
            this.buckets = [...this.buckets.filter(other => other.start > now - WINDOW_MS), bucket];
        }
        bucket.outcomes++;
        bucket.failures += isFailure ? 1 : 0;
    }
}
