/** Keeps the board section `holders` up to date from the document of the holders. */
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as constants from "./constants.js";
import * as holdersObjects from "./holders-object.js";
import type * as types from "./types.js";

/** Replaces the section when the holders are newer. */
export function noteHolders(board: boards.Board, holders: types.Holders): void {
    if (holders.version > board.read("holders").version) {
        board.write("holders", holders);
    }
}

/** Follows the document; entries need nothing else to find the holders. */
export function followHolders(
    documents: gossip.Documents,
    board: boards.Board,
    journal: event.Journal,
): Disposable {
    const note = (document: gossip.Document) => {
        const decoded = holdersObjects.decode(document.value, document.version);
        if (decoded.ok) {
            noteHolders(board, decoded.value);
            return;
        }
        journal.emit("budget-holders-invalid", { reason: decoded.failure.detail });
    };
    const known = documents.get(constants.HOLDERS_DOCUMENT);
    if (known !== undefined) {
        note(known);
    }
    return documents.subscribe(constants.HOLDERS_DOCUMENT, note);
}
