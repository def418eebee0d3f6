/** Holders of the admission budgets of customers. */
import type * as incarnations from "../core/incarnation.js";

/** Record of the holders of one group of customers. */
export interface HolderRecord {
    readonly group: number;
    /** Increases with each change of the holders. */
    readonly epoch: number;
    readonly primary: incarnations.Incarnation;
    /** Absent if the primary has no standby. */
    readonly standby?: incarnations.Incarnation;
}

/** Holders of all groups; the content of the document `budget-holders`. */
export interface Holders {
    /** Version of the object in the store; 0 if no holders are known. */
    readonly version: number;
    readonly groups: readonly HolderRecord[];
}

export const emptyHolders: Holders = { version: 0, groups: [] };
