/** Clock that a test advances explicitly, with seeded random numbers. */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import type * as clocks from "../../src/clock/clock.js";

interface Timer {
    /** Milliseconds of virtual time. */
    readonly dueAt: number;
    /** Order of timers that are due at the same time. */
    readonly sequence: number;
    readonly fire: () => void;
}

const START_WALL_TIME_MS = 1_800_000_000_000;

export class VirtualClock implements clocks.Clock {
    private elapsedMs = 0;
    private timerCount = 0;
    private identifierCount = 0;
    private timers: Timer[] = [];
    private readonly generator;

    constructor(seed: number) {
        this.generator = generators.xoroshiro128plus(seed);
    }

    readonly now = () => this.elapsedMs;
    readonly wallTime = () => START_WALL_TIME_MS + this.elapsedMs;
    readonly random = () => uniform.uniformFloat64(this.generator);
    readonly identifier = () => `boot-${++this.identifierCount}`;

    readonly sleep = (durationMs: number, signal?: AbortSignal) =>
        new Promise<void>(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const finish = () => {
                this.timers = this.timers.filter(other => other !== timer);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = {
                dueAt: this.elapsedMs + Math.max(0, durationMs),
                sequence: this.timerCount++,
                fire: finish,
            };
            this.timers.push(timer);
            signal?.addEventListener("abort", finish);
        });

    /** Advances the time and fires each due timer at its time, in order. */
    async advance(durationMs: number): Promise<void> {
        const target = this.elapsedMs + durationMs;
        for (;;) {
            await flushPromises();
            const due = this.timers.filter(timer => timer.dueAt <= target);
            if (due.length === 0) {
                break;
            }
            const next = due.reduce((first, timer) =>
                timer.dueAt < first.dueAt || (timer.dueAt === first.dueAt && timer.sequence < first.sequence)
                    ? timer
                    : first
            );
            this.timers = this.timers.filter(timer => timer !== next);
            this.elapsedMs = next.dueAt;
            next.fire();
        }
        this.elapsedMs = target;
    }

    /** Advances the time from timer to timer until the promise settles. */
    async runUntilSettled<Value>(promise: Promise<Value>): Promise<Value> {
        let settled = false;
        void promise.finally(() => settled = true).catch(() => undefined);
        await flushPromises();
        while (!settled) {
            // Without a pending timer the promise waits for a file or a socket.
            const next = Math.min(...this.timers.map(timer => timer.dueAt));
            await (Number.isFinite(next) ? this.advance(next - this.elapsedMs) : flushPromises());
        }
        return promise;
    }
}

/** Runs all promise callbacks that are ready. */
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
