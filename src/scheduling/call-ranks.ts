/**
 * Ranks of the calls of a service: the priority of the customer decides, and within it that of the route.
 *
 * Engines know few priorities. The ranks that the configuration really uses are numbered without gaps, so that they fit as
 * long as there are no more of them; otherwise neighbouring ranks share a priority, and none changes places with another.
 */
import type * as fleet from "../fleet/types.js";

/** Number of priorities that engines distinguish, from 0. */
export const ENGINE_PRIORITIES = 10;
/** Factor by which the first key of a rank outweighs the second. */
const KEY_FACTOR = 100_000;

export interface CallRank {
    /** Orders the calls of a service, also across versions of the configuration; less is more urgent. */
    readonly key: number;
    /** Position among the ranks of the service; 0 is the most urgent. */
    readonly rank: number;
    /** Number of ranks of the service. */
    readonly ranks: number;
    /** From 0 to 9; 0 is the most urgent. */
    readonly enginePriority: number;
}

type RankedCustomer = Pick<fleet.Customer, "priority"> | undefined;
type RankedRoute = Pick<fleet.Route, "priority">;

export class CallRanks {
    /** Keys of the ranks in order. */
    private readonly keys: readonly number[];

    constructor(customers: readonly RankedCustomer[], routes: readonly RankedRoute[]) {
        const keys = routes.flatMap(route => customers.map(customer => keyOf(customer, route)));
        this.keys = [...new Set(keys)].sort((left, right) => left - right);
    }

    /** Rank of a call. One that the configuration does not foresee goes right before the next that it does. */
    of(customer: RankedCustomer, route: RankedRoute): CallRank {
        const key = keyOf(customer, route);
        const ranks = Math.max(1, this.keys.length);
        const position = this.keys.findIndex(known => known >= key);
        const rank = position < 0 ? ranks - 1 : position;
        const enginePriority = ranks <= ENGINE_PRIORITIES ? rank : Math.floor(rank * ENGINE_PRIORITIES / ranks);
        return { key, rank, ranks, enginePriority };
    }
}

/** Ranks of the calls that the configuration sends to a service. */
export function ranksOf(
    { routes, customers }: Pick<fleet.Configuration, "routes" | "customers">,
    service: string,
): CallRanks {
    const served = routes.filter(route => {
        return route.targets.some(target => target.service === service && target.weight > 0);
    });
    // Calls of open routes have no customer; without customers, none has.
    const hasOpen = customers.length === 0 || served.some(route => route.open);
    return new CallRanks(hasOpen ? [...customers, undefined] : customers, served);
}

/** Without a priority of its customer, that of its route stands for both. */
function keyOf(customer: RankedCustomer, route: RankedRoute): number {
    return (customer?.priority ?? route.priority) * KEY_FACTOR + route.priority;
}
