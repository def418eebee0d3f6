/** Virtual time for tests of several processes in one: sleeps end in order without waiting. */
import type * as clocks from "../../src/clock/clock.js";

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly fire: () => void;
}

/** Small deterministic generator (mulberry32). */
export function generator(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x1_0000_0000;
    };
}

export class VirtualTime implements clocks.Clock {
    readonly random: () => number;
    private present = 0;
    private order = 0;
    private readonly timers = new Set<Timer>();

    constructor(seed: number) {
        this.random = generator(seed);
    }

    now(): number {
        return this.present;
    }

    wallTime(): number {
        return 1_800_000_000_000 + this.present;
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
                at: this.present + Math.max(0, durationMs),
                order: this.order++,
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

    /** Runs until the condition holds or the time is reached. */
    async run(until: number, isDone: () => boolean = () => false): Promise<void> {
        await settle();
        while (!isDone()) {
            const next = this.earliest();
            if (next === undefined || next.at > until) {
                return;
            }
            this.present = Math.max(this.present, next.at);
            next.fire();
            await settle();
        }
    }

    private earliest(): Timer | undefined {
        let found: Timer | undefined;
        for (const timer of this.timers) {
            if (found === undefined || timer.at < found.at || (timer.at === found.at && timer.order < found.order)) {
                found = timer;
            }
        }
        return found;
    }
}

/** Lets all pending promises continue. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
