/** Interfaces to the server whose weights an agent moves. */

/** State of a server as it says itself. */
export interface EngineState {
    readonly startedAt: number | undefined;
    readonly weights: ReadonlyMap<string, number>;
    /** An order is being carried out. */
    readonly isBusy: boolean;
    /** Number of orders that the server has accepted. */
    readonly orderCount: number;
    readonly running: number;
    readonly waiting: number;
}

export interface VersionOrder {
    readonly model: string;
    readonly version: number;
    /** Orders with a lower number than one already seen are void. */
    readonly fencingToken: number;
    /** The order is void when the server has accepted another number of orders. */
    readonly expectedOrderCount: number;
}

/**
 * - `accepted`: the server carries the order out.
 * - `in-force`: the server has the version.
 * - `conflict`: another order is in progress, or the order count differs.
 * - `fenced`: another holder has a higher token.
 * - `rejected`: the version is not known to the server yet.
 * - `no-answer`: the order may be carried out, now or later.
 */
export type OrderOutcome = "accepted" | "in-force" | "conflict" | "fenced" | "rejected" | "no-answer";

/** The server beside an agent. */
export interface EnginePort {
    /** Nothing when the server does not answer. */
    state(): Promise<EngineState | undefined>;
    order(order: VersionOrder): Promise<OrderOutcome>;
}
