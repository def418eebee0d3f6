/** Interface of an agent to the inference engine whose weights it updates. */

/** State of the server, from its own report. */
export interface EngineState {
    /** Start of the server in Unix milliseconds. */
    readonly startedAt: number | undefined;
    /** Loaded weights version by model. */
    readonly weights: ReadonlyMap<string, number>;
    /** The server is carrying out an order. */
    readonly isBusy: boolean;
    /** Number of orders that the server has accepted. */
    readonly orderCount: number;
    /** Number of calls that the server is running. */
    readonly running: number;
    /** Number of calls in the server's queue. */
    readonly waiting: number;
    /** Number of calls that the server has accepted but not begun to answer; an order makes it reject them. */
    readonly unstarted?: number;
}

/** An order to load a weights version. */
export interface VersionOrder {
    readonly model: string;
    readonly version: number;
    /** The server rejects an order with a lower token than one it has already seen. */
    readonly fencingToken: number;
    /** The server rejects the order when it has accepted a different number of orders. */
    readonly expectedOrderCount: number;
}

/**
 * - `accepted`: the server is carrying out the order.
 * - `in-force`: the server has already loaded the version.
 * - `conflict`: another order is in progress, or the order count differs.
 * - `fenced`: the server has seen a higher token.
 * - `rejected`: the server does not know the version yet.
 * - `no-answer`: unknown; the server may carry out the order now or later.
 */
export type OrderOutcome = "accepted" | "in-force" | "conflict" | "fenced" | "rejected" | "no-answer";

/** The inference engine of an agent. */
export interface EnginePort {
    /** Resolves to `undefined` when the server does not respond. */
    state(): Promise<EngineState | undefined>;
    order(order: VersionOrder): Promise<OrderOutcome>;
}
