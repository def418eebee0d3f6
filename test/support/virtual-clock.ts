/** Clock whose time a test moves, with seeded randomness. */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";
import type * as clocks from "../../src/clock/clock.js";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly fire: () => void;
}

const START_WALL_TIME = 1_800_000_000_000;

export class VirtualClock implements clocks.Clock {
    private time = 0;
    private created = 0;
    private identifiers = 0;
    private timers: Timer[] = [];
    private readonly generator;

    constructor(seed: number) {
        this.generator = generators.xoroshiro128plus(seed);
    }

    readonly now = () => this.time;
    readonly wallTime = () => START_WALL_TIME + this.time;
    readonly random = () => uniform.uniformFloat64(this.generator);
    readonly identifier = () => `boot-${++this.identifiers}`;

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
            const timer = { at: this.time + Math.max(0, durationMs), order: this.created++, fire: finish };
            this.timers.push(timer);
            signal?.addEventListener("abort", finish);
        });

    /** Moves the time forward and fires each timer at its time, in order. */
    async advance(durationMs: number): Promise<void> {
        const target = this.time + durationMs;
        for (;;) {
            await settle();
            const due = this.timers.filter(timer => timer.at <= target);
            if (due.length === 0) {
                break;
            }
            const next = due.reduce((first, timer) =>
                timer.at < first.at || (timer.at === first.at && timer.order < first.order) ? timer : first
            );
            this.timers = this.timers.filter(timer => timer !== next);
            this.time = next.at;
            next.fire();
        }
        this.time = target;
    }

    /** Moves the time until the promise settles. */
    async complete<Value>(promise: Promise<Value>): Promise<Value> {
        let settled = false;
        void promise.finally(() => settled = true).catch(() => undefined);
        await settle();
        while (!settled) {
            // Without a timer the promise waits for a file or a socket.
            const next = Math.min(...this.timers.map(timer => timer.at));
            await (Number.isFinite(next) ? this.advance(next - this.time) : settle());
        }
        return promise;
    }
}

/** Lets all promise callbacks that are ready run. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
