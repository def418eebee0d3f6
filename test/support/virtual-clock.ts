/** Clock whose time moves only when nothing else can happen, so that schedules with delays run at once. */
import type * as clock from "../../src/clock/clock.js";

interface Sleeper {
    readonly at: number;
    readonly wake: () => void;
}

export class VirtualClock implements clock.Clock {
    private time = 0;
    private identifiers = 0;
    private readonly sleepers = new Set<Sleeper>();

    now(): number {
        return this.time;
    }

    wallTime(): number {
        return this.time;
    }

    random(): number {
        return 0.5;
    }

    identifier(): string {
        return `id-${this.identifiers++}`;
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                this.sleepers.delete(sleeper);
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            const sleeper = { at: this.time + durationMs, wake };
            if (signal?.aborted) {
                resolve();
                return;
            }
            this.sleepers.add(sleeper);
            signal?.addEventListener("abort", wake);
        });
    }

    /** Moves the time on until the promise is settled, always to the next sleeper. */
    async run<Value>(promise: Promise<Value>): Promise<Value> {
        let settled = false;
        promise.then(() => settled = true, () => settled = true);
        for (;;) {
            await new Promise(resolve => setImmediate(resolve));
            if (settled) {
                return await promise;
            }
            const next = [...this.sleepers].sort((left, right) => left.at - right.at)[0];
            if (next !== undefined) {
                this.time = Math.max(this.time, next.at);
                next.wake();
            }
        }
    }
}
