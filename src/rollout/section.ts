/** Keeps the board section `rollouts` up to date from the documents of statuses and vetoes. */
import * as disposal from "../core/disposal.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as statusObjects from "./status-object.js";

/** Follows the documents, beginning with those that are known already. */
export function followRollouts(
    documents: gossip.Documents,
    board: boards.Board,
    journal: event.Journal,
): AsyncDisposable {
    const noteStatuses = (document: gossip.Document) => {
        const decoded = statusObjects.decode(document.value, document.version);
        if (!decoded.ok) {
            journal.emit("rollout-status-invalid", { reason: decoded.failure.detail });
            return;
        }
        const current = board.read("rollouts");
        if (document.version > current.version) {
            board.write("rollouts", { ...current, ...decoded.value });
        }
    };
    const noteVeto = (document: gossip.Document) => {
        const current = board.read("rollouts");
        const identity = document.name.slice(statusObjects.VETO_PREFIX.length);
        if (!current.vetoes.has(identity)) {
            board.write("rollouts", { ...current, vetoes: new Set([...current.vetoes, identity]) });
        }
    };
    const known = documents.get(statusObjects.STATUS_DOCUMENT);
    if (known !== undefined) {
        noteStatuses(known);
    }
    documents.list(statusObjects.VETO_PREFIX).forEach(noteVeto);
    const stack = new disposal.DisposalStack();
    stack.use(documents.subscribe(statusObjects.STATUS_DOCUMENT, noteStatuses));
    stack.use(documents.subscribe(statusObjects.VETO_PREFIX, noteVeto));
    return stack;
}

/** Reason of a veto; undefined when there is none. */
export function vetoReason(documents: gossip.Documents, identity: string): string | undefined {
    const document = documents.get(`${statusObjects.VETO_PREFIX}${identity}`);
    if (document === undefined) {
        return undefined;
    }
    const { reason } = document.value as { readonly reason?: unknown; };
    return typeof reason === "string" ? reason : "vetoed without a reason";
}
