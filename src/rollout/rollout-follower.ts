/** Updates the board section `rollouts` from the gossiped status and veto documents. */
import * as disposal from "../core/disposal.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import type * as gossip from "../gossip/types.js";
import * as statusObjects from "./status-object.js";

/** Applies the known documents and subscribes to changes until disposed. */
export function followRollouts(
    documents: gossip.Documents,
    board: boards.Board,
    journal: event.Journal,
): AsyncDisposable {
    const applyStatuses = (document: gossip.Document) => {
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
    const applyVeto = (document: gossip.Document) => {
        const current = board.read("rollouts");
        const identity = document.name.slice(statusObjects.VETO_PREFIX.length);
        if (!current.vetoes.has(identity)) {
            board.write("rollouts", { ...current, vetoes: new Set([...current.vetoes, identity]) });
        }
    };
    const knownStatuses = documents.get(statusObjects.STATUS_DOCUMENT);
    if (knownStatuses !== undefined) {
        applyStatuses(knownStatuses);
    }
    documents.list(statusObjects.VETO_PREFIX).forEach(applyVeto);
    const stack = new disposal.DisposalStack();
    stack.use(documents.subscribe(statusObjects.STATUS_DOCUMENT, applyStatuses));
    stack.use(documents.subscribe(statusObjects.VETO_PREFIX, applyVeto));
    return stack;
}

/** Reason of the veto of a rollout; `undefined` if it has no veto. */
export function vetoReason(documents: gossip.Documents, identity: string): string | undefined {
    const document = documents.get(`${statusObjects.VETO_PREFIX}${identity}`);
    if (document === undefined) {
        return undefined;
    }
    const { reason } = document.value as { readonly reason?: unknown; };
    return typeof reason === "string" ? reason : "veto without a reason";
}
