/** Counts of one rollout as the coordinator collects them from the agents. */
import * as incarnations from "../core/incarnation.js";
import * as evidence from "./evidence.js";
import type * as transports from "./transport.js";
import type * as types from "./types.js";

export class Collection {
    private readonly latest = new Map<string, transports.OutcomesReply>();
    /** Counts of ended runs of agents; their processes no longer have them. */
    private ended: readonly types.OutcomeCount[] = [];

    /** Takes the counts of an agent. An agent that restarted begins at 0; what its earlier run counted stays. */
    add(reply: transports.OutcomesReply): void {
        const known = this.latest.get(reply.agent.address);
        if (known !== undefined && !incarnations.sameIncarnation(known.agent, reply.agent)) {
            this.ended = evidence.sum([this.ended, known.counts]);
        }
        this.latest.set(reply.agent.address, reply);
    }

    total(): readonly types.OutcomeCount[] {
        return evidence.sum([this.ended, ...[...this.latest.values()].map(reply => reply.counts)]);
    }
}
