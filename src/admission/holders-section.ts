/** Keeps the board section `holders` up to date with the gossip document of the holders. */
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as constants from "./constants.js";
import * as holdersObjects from "./holders-object.js";
import type * as types from "./types.js";

/** Replaces the section if the holders are newer. */
export function updateHolders(board: boards.Board, holders: types.Holders): void {
    if (holders.version > board.read("holders").version) {
        board.write("holders", holders);
    }
}

/** Updates the section with each version of the document. Entries find the holders only through this section. */
export function followHolders(
    documents: gossip.Documents,
    board: boards.Board,
    journal: event.Journal,
): Disposable {
    const update = (document: gossip.Document) => {
        const decoded = holdersObjects.decode(document.value, document.version);
        if (decoded.ok) {
            updateHolders(board, decoded.value);
            return;
        }
        journal.emit("budget-holders-invalid", { reason: decoded.failure.detail });
    };
    const known = documents.get(constants.HOLDERS_DOCUMENT);
    if (known !== undefined) {
        update(known);
    }
    return documents.subscribe(constants.HOLDERS_DOCUMENT, update);
}
