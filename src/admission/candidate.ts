/**
 * Role of an agent that is neither primary nor standby of the group and monitors its holders.
 *
 * It grants nothing. It proposes itself as primary only if all holders are proved dead or the store has no record, and
 * takes over once the store has accepted the change. The buckets then start empty.
 */
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as roleContexts from "./role-context.js";

/** Number of agents that monitor the holders of a group; the second covers the loss of the first. */
const CANDIDATES_PER_GROUP = 2;

/** Delay after which the second candidate proposes itself, for example if the member document of the first is outdated. */
const SECOND_CANDIDATE_DELAY_MS = 2000;

export class Candidate {
    readonly role = "none";
    private withoutHoldersSince: number | undefined;

    constructor(private readonly context: roleContexts.RoleContext) {}

    tick(now: number): readonly messages.Action[] {
        const { view, changes, isDraining } = this.context;
        if (isDraining || changes.pending !== undefined || !view.hasReadStore) {
            return [];
        }
        const rank = this.takeoverRank();
        if (rank >= CANDIDATES_PER_GROUP) {
            return [];
        }
        const alive = view.holders.filter(holder => !view.isDead(holder));
        if (alive.length === 0) {
            return this.proposeSelf(rank, now);
        }
        this.withoutHoldersSince = undefined;
        return alive.flatMap(holder => view.probe(holder, constants.CANDIDATE_PROBE_INTERVAL_MS, now));
    }

    private proposeSelf(rank: number, now: number): readonly messages.Action[] {
        const { view, changes } = this.context;
        this.withoutHoldersSince ??= now;
        if (rank !== 0 && now < this.withoutHoldersSince + SECOND_CANDIDATE_DELAY_MS) {
            return [];
        }
        return changes.proposeAsPrimary(view.record === undefined ? "first holder" : "holders proved dead", now);
    }

    private takeoverRank(): number {
        const { view, selection, self } = this.context;
        const excluded = new Set(view.deadAddresses);
        // After a restart this process shares its address with its dead incarnation and keeps its rank.
        excluded.delete(self.address);
        return selection.takeoverRank(excluded);
    }
}
