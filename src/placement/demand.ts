/** Estimates the load of a service's servers from this entry's own calls and the number of entries. */
import type * as types from "./types.js";

/** Time in milliseconds after which a call counts half. */
const HALF_LIFE_MS = 1500;

interface Demand {
    /** Decayed sum of the prompt tokens that servers had to prefill. */
    readonly tokens: number;
    /** Decayed number of calls, and sum of all their prompt tokens. */
    readonly calls: number;
    readonly promptTokens: number;
    readonly updatedAt: number;
}

const NO_DEMAND = { tokens: 0, calls: 0, promptTokens: 0 } as const;

export class DemandEstimates {
    private readonly demands = new Map<string, Demand>();

    /** `entryCount` is the number of entries, this one included; callers are spread over them. */
    constructor(private readonly entryCount: (now: number) => number) {}

    /** Records a call of this entry: the prompt tokens that its server has to prefill, and all of them. */
    record(service: string, tokens: number, promptTokens: number, now: number): void {
        const decayed = this.decayed(service, now);
        this.demands.set(service, {
            tokens: decayed.tokens + tokens,
            calls: decayed.calls + 1,
            promptTokens: decayed.promptTokens + promptTokens,
            updatedAt: now,
        });
    }

    /** Mean prompt tokens of the recent calls of the service; 0 if there were none. */
    meanPromptTokens(service: string, now: number): number {
        const { calls, promptTokens } = this.decayed(service, now);
        return calls === 0 ? 0 : promptTokens / calls;
    }

    /** Prefill time that all entries ask of each server, relative to the time that passes; above 1 they are overloaded. */
    utilization(service: string, servers: number, latency: types.LatencyEstimate, now: number): number {
        const tokensPerMs = this.decayed(service, now).tokens * Math.LN2 / HALF_LIFE_MS;
        return tokensPerMs * this.entryCount(now) * latency.msPerPromptToken / Math.max(1, servers);
    }

    private decayed(service: string, now: number): Omit<Demand, "updatedAt"> {
        const { tokens, calls, promptTokens, updatedAt } = this.demands.get(service) ??
            { ...NO_DEMAND, updatedAt: now };
        const factor = 2 ** (-(now - updatedAt) / HALF_LIFE_MS);
        return { tokens: tokens * factor, calls: calls * factor, promptTokens: promptTokens * factor };
    }
}
