/** Clock whose sleeps end when the test ends them, for timeouts that must not depend on the load of the machine. */
import * as clock from "../../src/clock/clock.js";

export class ManualClock implements clock.Clock {
    readonly now = clock.systemClock.now;
    readonly wallTime = clock.systemClock.wallTime;
    readonly random = clock.systemClock.random;
    readonly identifier = clock.systemClock.identifier;
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
