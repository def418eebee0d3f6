/** Estimates the load of a service's servers from this entry's own calls and the number of entries. */
import type * as types from "./types.js";

/** Time in milliseconds after which a call counts half. */
const HALF_LIFE_MS = 1500;

interface Demand {
    /** Decayed sum of prompt tokens. */
    readonly tokens: number;
    readonly updatedAt: number;
}

export class DemandEstimates {
    private readonly demands = new Map<string, Demand>();

    /** `entryCount` is the number of entries, this one included; callers are spread over them. */
    constructor(private readonly entryCount: (now: number) => number) {}

    /** Records prompt tokens that a server has to prefill for a call of this entry. */
    record(service: string, tokens: number, now: number): void {
        this.demands.set(service, { tokens: this.decayed(service, now) + tokens, updatedAt: now });
    }

    /** Prefill time that all entries ask of each server, relative to the time that passes; above 1 they are overloaded. */
    utilization(service: string, servers: number, latency: types.LatencyEstimate, now: number): number {
        const tokensPerMs = this.decayed(service, now) * Math.LN2 / HALF_LIFE_MS;
        return tokensPerMs * this.entryCount(now) * latency.msPerPromptToken / Math.max(1, servers);
    }

    private decayed(service: string, now: number): number {
        const { tokens, updatedAt } = this.demands.get(service) ?? { tokens: 0, updatedAt: now };
        return tokens * 2 ** (-(now - updatedAt) / HALF_LIFE_MS);
    }
}
