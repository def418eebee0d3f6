/** Sums the outcome counts of one rollout that the coordinator fetches from the agents. */
import * as incarnations from "../core/incarnation.js";
import * as evidence from "./evidence.js";
import type * as transports from "./transport.js";
import type * as types from "./types.js";

export class OutcomeTotals {
    private readonly latestReplies = new Map<string, transports.OutcomesReply>();
    /** Counts of agent processes that have been replaced since. */
    private endedProcessCounts: readonly types.OutcomeCount[] = [];

    /**
     * Replaces the counts of an agent. A restarted agent counts from 0 again, so the counts of its earlier process are
     * kept separately.
     */
    add(reply: transports.OutcomesReply): void {
        const previous = this.latestReplies.get(reply.agent.address);
        if (previous !== undefined && !incarnations.sameIncarnation(previous.agent, reply.agent)) {
            this.endedProcessCounts = evidence.mergeCounts([this.endedProcessCounts, previous.counts]);
        }
        this.latestReplies.set(reply.agent.address, reply);
    }

    total(): readonly types.OutcomeCount[] {
        return evidence.mergeCounts([
            this.endedProcessCounts,
            ...[...this.latestReplies.values()].map(reply => reply.counts),
        ]);
    }
}
