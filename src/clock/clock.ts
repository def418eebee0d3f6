/** Source of time and randomness. No other production module reads the system's directly. */
import * as crypto from "node:crypto";

export interface Clock {
    /** Monotonic time in milliseconds; for durations and decisions. */
    now(): number;
    /** Time since the Unix epoch in milliseconds; for deadlines set by operators and for reports. */
    wallTime(): number;
    /** Uniform random number in [0, 1). */
    random(): number;
    /** Random identifier in hexadecimal. */
    identifier(): string;
    /** Resolves after the duration, or at once when the signal is aborted. */
    sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

const IDENTIFIER_BYTES = 12;

export const systemClock: Clock = {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    random: () => Math.random(),
    identifier: () => crypto.randomBytes(IDENTIFIER_BYTES).toString("hex"),
    sleep: (durationMs, signal) =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                clearTimeout(timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = setTimeout(finish, durationMs);
            signal?.addEventListener("abort", finish);
        }),
};
