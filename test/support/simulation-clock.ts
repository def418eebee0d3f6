/** Clock for simulations of several processes in one: sleeps end in order of virtual time, without waiting. */
import type * as clocks from "../../src/clock/clock.js";

interface Timer {
    /** Milliseconds of virtual time. */
    readonly dueAt: number;
    /** Order of timers that are due at the same time. */
    readonly sequence: number;
    readonly fire: () => void;
}

/** Seeded generator of random numbers from 0 to 1 (mulberry32). */
export function randomGenerator(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000;
    };
}

export class SimulationClock implements clocks.Clock {
    readonly random: () => number;
    private elapsedMs = 0;
    private timerCount = 0;
    private readonly timers = new Set<Timer>();

    constructor(seed: number) {
        this.random = randomGenerator(seed);
    }

    now(): number {
        return this.elapsedMs;
    }

    wallTime(): number {
        return 1_800_000_000_000 + this.elapsedMs;
    }

    identifier(): string {
        return Math.floor(this.random() * 2 ** 48).toString(16);
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        if (signal?.aborted) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer: Timer = {
                dueAt: this.elapsedMs + Math.max(0, durationMs),
                sequence: this.timerCount++,
                fire: () => {
                    this.timers.delete(timer);
                    signal?.removeEventListener("abort", timer.fire);
                    resolve();
                },
            };
            this.timers.add(timer);
            signal?.addEventListener("abort", timer.fire);
        });
    }

    /** Fires timers in order until the condition holds or none is due by `until`, in milliseconds of virtual time. */
    async run(until: number, isDone: () => boolean = () => false): Promise<void> {
        await flushPromises();
        while (!isDone()) {
            const next = this.earliestTimer();
            if (next === undefined || next.dueAt > until) {
                return;
            }
            this.elapsedMs = Math.max(this.elapsedMs, next.dueAt);
            next.fire();
            await flushPromises();
        }
    }

    private earliestTimer(): Timer | undefined {
        let found: Timer | undefined;
        for (const timer of this.timers) {
            if (
                found === undefined || timer.dueAt < found.dueAt ||
                (timer.dueAt === found.dueAt && timer.sequence < found.sequence)
            ) {
                found = timer;
            }
        }
        return found;
    }
}

/** Runs all promise callbacks that are ready. */
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
