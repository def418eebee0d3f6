/** Throughput of a backend server, measured only while it is saturated, that is, while jobs wait for it. */

/** Time constant of the exponential moving average. */
const AVERAGE_WINDOW_MS = 20_000;
/** Estimates from less saturated time are too noisy to refuse requests. */
const MINIMUM_OBSERVATION_MS = 1000;

export class Throughput {
    private saturatedCost = 0;
    private saturatedMs = 0;
    private updatedAt: number | undefined;
    private saturated = false;

    /** Records whether jobs wait from now on. */
    setSaturated(saturated: boolean, now: number): void {
        this.advance(now);
        this.saturated = saturated;
    }

    complete(cost: number, now: number): void {
        this.advance(now);
        if (this.saturated) {
            this.saturatedCost += cost;
        }
    }

    /** Completed cost in tokens per millisecond; `undefined` while too little has been observed. */
    costPerMs(): number | undefined {
        return this.saturatedMs < MINIMUM_OBSERVATION_MS || this.saturatedCost === 0
            ? undefined
            : this.saturatedCost / this.saturatedMs;
    }

    private advance(now: number): void {
        const elapsedMs = Math.max(0, now - (this.updatedAt ?? now));
        this.updatedAt = now;
        if (!this.saturated) {
            return;
        }
        const decay = Math.exp(-elapsedMs / AVERAGE_WINDOW_MS);
        this.saturatedCost *= decay;
        this.saturatedMs = this.saturatedMs * decay + elapsedMs;
    }
}
