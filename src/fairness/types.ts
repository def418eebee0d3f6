/** Types of the queue of an agent in front of its backend server. */

export type Priority = "interactive" | "batch";

export interface JobRequest {
    readonly customer: string;
    readonly priority: Priority;
    /** Expected work in tokens: uncached prompt and expected output. */
    readonly cost: number;
    /** Tokens that the job occupies while it runs: whole prompt and expected output. */
    readonly tokens: number;
    /** Latest start as a monotonic time in milliseconds. */
    readonly deadline: number;
    /** Whether no other job may run at the same time. */
    readonly isExclusive: boolean;
}

export interface Job extends JobRequest {
    readonly id: number;
}

export interface Limits {
    /** Maximum number of running jobs. */
    readonly slots: number;
    /** Maximum total of the tokens of all running jobs. */
    readonly runningTokens: number;
    /** Maximum number of waiting jobs. */
    readonly queuedJobs: number;
    /** Maximum total cost of all waiting jobs in tokens. */
    readonly queuedCost: number;
}

/** Weight of each customer in the division of the capacity; a customer without an entry has weight 1. */
export type Weights = ReadonlyMap<string, number>;
