/** Order of the store's states. Within an era the revision orders them; a later era comes after all earlier ones. */
import type * as types from "./types.js";

/** Before the first listing. */
export const NOWHERE: types.Position = { era: -1, revision: -1 };

/** Whether the left position comes after the right one. */
export function isAfter(left: types.Position, right: types.Position): boolean {
    return left.era > right.era || left.era === right.era && left.revision > right.revision;
}

export function latest(left: types.Position, right: types.Position): types.Position {
    return isAfter(right, left) ? right : left;
}
