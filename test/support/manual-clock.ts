/** Clock whose sleeps end when the test says so; for time-outs that must not depend on the load of the machine. */
import * as clocks from "../../src/clock/clock.js";

export class ManualClock implements clocks.Clock {
    readonly now = clocks.systemClock.now;
    readonly wallTime = clocks.systemClock.wallTime;
    readonly random = clocks.systemClock.random;
    readonly identifier = clocks.systemClock.identifier;
    private readonly pending = new Set<() => void>();

    sleep(_durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.pending.add(resolve);
            signal?.addEventListener("abort", () => {
                this.pending.delete(resolve);
                resolve();
            });
        });
    }

    /** Ends all sleeps. */
    expire(): void {
        this.pending.forEach(resolve => resolve());
        this.pending.clear();
    }
}

/** Waits for a condition that another part of the process fulfils. */
export async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
