/** Clock whose sleeps end when the test ends them, for timeouts that must not depend on the load of the machine. */
import * as clocks from "../../src/clock/clock.js";

export class ManualClock implements clocks.Clock {
    readonly now = clocks.systemClock.now;
    readonly wallTime = clocks.systemClock.wallTime;
    readonly random = clocks.systemClock.random;
    readonly identifier = clocks.systemClock.identifier;
    private readonly pendingSleeps = new Set<() => void>();

    sleep(_durationMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.pendingSleeps.add(resolve);
            signal?.addEventListener("abort", () => {
                this.pendingSleeps.delete(resolve);
                resolve();
            });
        });
    }

    /** Ends all pending sleeps. */
    endSleeps(): void {
        this.pendingSleeps.forEach(resolve => resolve());
        this.pendingSleeps.clear();
    }
}

/** Yields to the event loop until the condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
