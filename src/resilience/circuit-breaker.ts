/**
 * Circuit breaker of one backend server.
 *
 * Closed, it counts outcomes. Open, it passes nothing until a pause has ended. Then it passes one trial at a time;
 * enough successful ones close it, a failed one opens it again for a longer pause.
 */
import * as backoff from "./backoff.js";

export type CircuitState = "closed" | "open" | "half-open";

const WINDOW_MS = 10_000;
const SLICE_MS = 1000;
/** A share of few outcomes says little; consecutive failures open the circuit without it. */
const LEAST_OUTCOMES = 10;
const FAILURE_SHARE = 0.5;
const CONSECUTIVE_FAILURES = 5;
const SUCCESSFUL_TRIALS = 2;
/** A trial whose outcome is never reported gives its place free after this time. */
const TRIAL_TIMEOUT_MS = 30_000;
const PAUSE: backoff.BackoffPolicy = { firstMs: 500, longestMs: 15_000 };

/** Outcomes of one second; single outcomes would make each request cost as much as the window is long. */
interface Slice {
    readonly start: number;
    outcomes: number;
    failures: number;
}

export class CircuitBreaker {
    private current: CircuitState = "closed";
    private slices: Slice[] = [];
    private consecutiveFailures = 0;
    private openings = 0;
    private openUntil = Number.NEGATIVE_INFINITY;
    private trialSince: number | undefined;
    private successfulTrials = 0;

    get state(): CircuitState {
        return this.current;
    }

    /** A request may go to the server now, without taking the place of a trial; for ranking candidates. */
    isAvailable(now: number): boolean {
        switch (this.current) {
            case "closed":
                return true;
            case "open":
                return now >= this.openUntil;
            case "half-open":
                return this.trialSince === undefined || now >= this.trialSince + TRIAL_TIMEOUT_MS;
        }
    }

    /** Asks to send a request. On true its outcome has to be reported. */
    tryPass(now: number): boolean {
        if (!this.isAvailable(now)) {
            return false;
        }
        if (this.current !== "closed") {
            this.successfulTrials = this.current === "open" ? 0 : this.successfulTrials;
            this.current = "half-open";
            this.trialSince = now;
        }
        return true;
    }

    succeeded(now: number): void {
        this.consecutiveFailures = 0;
        if (this.current === "half-open") {
            this.trialSince = undefined;
            this.successfulTrials++;
            if (this.successfulTrials >= SUCCESSFUL_TRIALS) {
                this.close();
            }
            return;
        }
        this.observe(now, false);
    }

    /** `random` is uniform in [0, 1); it spreads the trials of many entries. */
    failed(now: number, random: number): void {
        this.consecutiveFailures++;
        if (this.current === "half-open") {
            this.open(now, random);
            return;
        }
        // Requests that were under way when the circuit opened say nothing new.
        if (this.current === "closed") {
            this.observe(now, true);
            if (this.isFailing()) {
                this.open(now, random);
            }
        }
    }

    /** The outcome says nothing about the server, for example because the caller gave up. */
    abandoned(): void {
        this.trialSince = undefined;
    }

    /** Forgets everything, for a new incarnation of the server. */
    reset(): void {
        this.close();
    }

    private isFailing(): boolean {
        const failures = this.slices.reduce((sum, slice) => sum + slice.failures, 0);
        const outcomes = this.slices.reduce((sum, slice) => sum + slice.outcomes, 0);
        return this.consecutiveFailures >= CONSECUTIVE_FAILURES
            || (outcomes >= LEAST_OUTCOMES && failures >= outcomes * FAILURE_SHARE);
    }

    private open(now: number, random: number): void {
        this.current = "open";
        this.openUntil = now + PAUSE.firstMs / 2 + backoff.pause(PAUSE, this.openings, random);
        this.openings++;
        this.trialSince = undefined;
        this.slices = [];
    }

    private close(): void {
        this.current = "closed";
        this.openings = 0;
        this.consecutiveFailures = 0;
        this.slices = [];
        this.trialSince = undefined;
        this.successfulTrials = 0;
    }

    private observe(now: number, failed: boolean): void {
        const start = Math.floor(now / SLICE_MS) * SLICE_MS;
        let slice = this.slices.at(-1);
        if (slice === undefined || slice.start < start) {
            slice = { start, outcomes: 0, failures: 0 };
            this.slices = [...this.slices.filter(other => other.start > now - WINDOW_MS), slice];
        }
        slice.outcomes++;
        slice.failures += failed ? 1 : 0;
    }
}
