/** State of one process in one group that outlives its roles; each role reads it. */
import type * as incarnations from "../core/incarnation.js";
import type * as holderChanges from "./holder-changes.js";
import type * as holderViews from "./holder-view.js";
import type * as messages from "./messages.js";
import type * as waitingLists from "./waiting-list.js";

export interface RoleContext {
    readonly group: number;
    readonly self: incarnations.Incarnation;
    readonly surroundings: holderChanges.Surroundings;
    readonly view: holderViews.HolderView;
    readonly changes: holderChanges.HolderChanges;
    readonly waitingList: waitingLists.WaitingList;
    /** The process takes no new responsibility and hands over what it holds. */
    draining: boolean;
    /** The process grants nothing any more, in any role. */
    stopped: boolean;
}

export function notify(event: messages.OwnershipEvent, reason: string): messages.Action {
    return { kind: "notify", event, reason };
}
