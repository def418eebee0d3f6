/**
 * Role of an agent that holds nothing in the group and watches its holders.
 *
 * It grants nothing. It proposes itself as primary only with proof that all holders are dead, or when the store has no
 * record, and takes over when the store has accepted that; the buckets then start empty.
 */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as roleContexts from "./role-context.js";

/** Agents that watch the holders of a group; a second one covers the loss of the first. */
const CANDIDATES_PER_GROUP = 2;

/** The second candidate proposes itself when the first has not, for example because its member entry is stale. */
const SECOND_CANDIDATE_DELAY_MS = 2000;

export class Candidate {
    readonly role = "none";
    private vacantSince: number | undefined;

    constructor(private readonly context: roleContexts.RoleContext) {}

    tick(now: number): readonly messages.Action[] {
        const { view, changes, draining } = this.context;
        if (draining || changes.pending !== undefined || !view.storeRead) {
            return [];
        }
        const position = this.position();
        if (position >= CANDIDATES_PER_GROUP) {
            return [];
        }
        const alive = view.holders.filter(holder => !view.isDead(holder));
        if (alive.length === 0) {
            return this.proposeSelf(position, now);
        }
        this.vacantSince = undefined;
        return alive.flatMap(holder => view.probe(holder, constants.CANDIDATE_PROBE_INTERVAL_MS, now));
    }

    private proposeSelf(position: number, now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        this.vacantSince ??= now;
        if (position !== 0 && now < this.vacantSince + SECOND_CANDIDATE_DELAY_MS) {
            return [];
        }
        return changes.propose(view.record === undefined ? "first holder" : "holders proved dead", now);
    }

    private position(): number {
        const { view, surroundings, self } = this.context;
        const excluded = new Set(view.deadAddresses);
        // A restarted process takes its former place, since the dead incarnation had its address.
        excluded.delete(self.address);
        return surroundings.position(excluded);
    }
}
