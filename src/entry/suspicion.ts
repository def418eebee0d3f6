/** Decides for each attempt whether the request runs, runs alone or is refused. */
import type * as incarnations from "../core/incarnation.js";
import type * as membership from "../membership/types.js";
import * as decisions from "../quarantine/decisions.js";
import type * as quarantine from "../quarantine/types.js";
import type * as streams from "../streams/types.js";

export interface SuspicionOptions {
    /** Verdict of the table of suspects. */
    readonly decide: (fingerprint: string) => quarantine.Verdict;
    readonly members: () => membership.Members;
    readonly liveness: membership.LivenessProbe;
}

export class Suspicion {
    constructor(private readonly options: SuspicionOptions) {}

    of(fingerprint: string): RequestVerdict {
        return new RequestVerdict(this.options, fingerprint);
    }
}

/** Verdicts of one request over its attempts. */
export class RequestVerdict {
    private agent: incarnations.Incarnation | undefined;
    /** An agent that had the request is proven dead; kept, since a later loss does not disprove it. */
    private agentDead = false;

    constructor(private readonly options: SuspicionOptions, private readonly fingerprint: string) {}

    /** Notes the agent that gets the attempt. */
    sent(address: string): void {
        this.agent = this.options.members().get(address)?.incarnation;
    }

    /** Asks for a proof of death only when the connection to the last agent broke. */
    async decide(plan: streams.AttemptPlan): Promise<quarantine.Verdict> {
        const { agent, options } = this;
        this.agent = undefined;
        if (agent !== undefined && !this.agentDead && plan.disconnected.has(agent.address)) {
            this.agentDead = await options.liveness.probe(agent) === "dead";
        }
        const { lostConnection, reportedSuspect } = plan;
        const evidence = { loss: lostConnection, toldSuspect: reportedSuspect, agentDead: this.agentDead };
        return decisions.atEntry(options.decide(this.fingerprint), evidence);
    }
}

/**
 * Servers that an attempt avoids. A trial still goes to a server whose connection merely broke: if it moved on, a copy
 * of the request could run at two servers at a time.
 */
export function avoided(plan: streams.AttemptPlan, runAlone: boolean): ReadonlySet<string> {
    return runAlone ? new Set([...plan.excluded].filter(server => !plan.disconnected.has(server))) : plan.excluded;
}
