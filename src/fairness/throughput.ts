/** Work that a backend server completes per millisecond while requests wait for it. */

const WINDOW_MS = 20_000;
/** Estimates from less waiting time than this are too noisy to refuse requests by. */
const LEAST_OBSERVATION_MS = 1000;

export class Throughput {
    private cost = 0;
    private elapsedMs = 0;
    private updatedAt: number | undefined;
    private saturated = false;

    /** Notes that from now on requests wait, or none does. */
    note(saturated: boolean, now: number): void {
        this.advance(now);
        this.saturated = saturated;
    }

    complete(cost: number, now: number): void {
        this.advance(now);
        if (this.saturated) {
            this.cost += cost;
        }
    }

    /** Cost per millisecond; `undefined` while too little is known. */
    rate(): number | undefined {
        return this.elapsedMs < LEAST_OBSERVATION_MS || this.cost === 0 ? undefined : this.cost / this.elapsedMs;
    }

    private advance(now: number): void {
        const elapsed = Math.max(0, now - (this.updatedAt ?? now));
        this.updatedAt = now;
        if (!this.saturated) {
            return;
        }
        const kept = Math.exp(-elapsed / WINDOW_MS);
        this.cost *= kept;
        this.elapsedMs = this.elapsedMs * kept + elapsed;
    }
}
