/** Jobs that wait at an agent for its backend server. */

export type Priority = "interactive" | "batch";

export interface JobRequest {
    readonly customer: string;
    readonly priority: Priority;
    /** Expected work in tokens: uncached prompt and expected output. */
    readonly cost: number;
    /** Tokens that the job occupies while it runs: whole prompt and expected output. */
    readonly tokens: number;
    /** Latest start; monotonic time in milliseconds. */
    readonly deadline: number;
    /** Nothing else may run at the same time. */
    readonly alone: boolean;
}

export interface Job extends JobRequest {
    readonly id: number;
}

export interface Limits {
    /** Jobs that run at the same time. */
    readonly slots: number;
    /** Tokens of all running jobs together. */
    readonly runningTokens: number;
    readonly queuedJobs: number;
    /** Cost in tokens of all waiting jobs together. */
    readonly queuedCost: number;
}

/** Relative share of each customer; customers that are absent have weight 1. */
export type Weights = ReadonlyMap<string, number>;
