/** State of one process in one group that is shared by its roles and kept when the role changes. */
import type * as incarnations from "../core/incarnation.js";
import type * as holderChanges from "./holder-changes.js";
import type * as holderViews from "./holder-view.js";
import type * as messages from "./messages.js";
import type * as waitingLists from "./waiting-list.js";

export interface RoleContext {
    readonly group: number;
    readonly self: incarnations.Incarnation;
    readonly selection: holderChanges.HolderSelection;
    readonly view: holderViews.HolderView;
    readonly changes: holderChanges.HolderChanges;
    readonly waitingList: waitingLists.WaitingList;
    /** The process must not become a holder and hands over the group if it is the primary. */
    isDraining: boolean;
    /** The process grants no admissions and no leases any more. */
    isStopped: boolean;
}

export function logEvent(event: messages.OwnershipEvent, reason: string): messages.Action {
    return { kind: "log", event, reason };
}
