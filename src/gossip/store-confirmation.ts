/** Records when the object API was last known to be reachable. */
import type * as boards from "../daemon/board.js";

/** Moves `storeSeenAt` forward. `seenAt` is monotonic time in milliseconds; an older confirmation has no effect. */
export function recordStoreConfirmation(board: boards.Board, seenAt: number): void {
    if (seenAt > board.read("storeSeenAt")) {
        board.write("storeSeenAt", seenAt);
    }
}
