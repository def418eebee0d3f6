/** Ownership of customer budgets. */
import type * as incarnations from "../core/incarnation.js";

/** Holders of one group of customers. */
export interface Holder {
    readonly group: number;
    /** Grows with each change of the holders. */
    readonly epoch: number;
    readonly primary: incarnations.Incarnation;
    /** Absent while the primary is alone. */
    readonly standby?: incarnations.Incarnation;
}

/** Holders by group; the value of the document `budget-holders`. */
export interface Holders {
    /** Version of the object in the store. */
    readonly version: number;
    readonly groups: readonly Holder[];
}

export const emptyHolders: Holders = { version: 0, groups: [] };
