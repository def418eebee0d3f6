/** Decides for each attempt whether the request runs normally, runs alone on a server or is refused. */
import type * as incarnations from "../core/incarnation.js";
import type * as membership from "../membership/types.js";
import * as decisions from "../quarantine/decisions.js";
import type * as quarantine from "../quarantine/types.js";
import type * as streams from "../streams/types.js";

export interface QuarantinePolicyOptions {
    /** Verdict of the local table of suspects, the requests suspected of crashing servers. */
    readonly decide: (fingerprint: string) => quarantine.Verdict;
    readonly members: () => membership.Members;
    readonly liveness: membership.LivenessProbe;
}

export class QuarantinePolicy {
    constructor(private readonly options: QuarantinePolicyOptions) {}

    forRequest(fingerprint: string): RequestQuarantine {
        return new RequestQuarantine(this.options, fingerprint);
    }
}

/** Quarantine state of one request across its attempts. */
export class RequestQuarantine {
    private agent: incarnations.Incarnation | undefined;
    /** An agent that ran the request is proved dead. Stays true, since a later connection loss does not disprove it. */
    private isAgentDead = false;

    constructor(private readonly options: QuarantinePolicyOptions, private readonly fingerprint: string) {}

    /** Records the agent that receives the attempt. */
    attemptSent(address: string): void {
        this.agent = this.options.members().get(address)?.incarnation;
    }

    /** Probes the agent of the previous attempt only if the connection to it was lost. */
    async decide(plan: streams.AttemptPlan): Promise<quarantine.Verdict> {
        const { agent, options } = this;
        this.agent = undefined;
        if (agent !== undefined && !this.isAgentDead && plan.disconnected.has(agent.address)) {
            this.isAgentDead = await options.liveness.probe(agent) === "dead";
        }
        const { lostConnection, flaggedAsSuspect } = plan;
        const evidence = { loss: lostConnection, flaggedAsSuspect, agentDead: this.isAgentDead };
        return decisions.decideAtEntry(options.decide(this.fingerprint), evidence);
    }
}

/**
 * Servers that an attempt must avoid. A request that runs alone may return to a server of which only the connection was
 * lost: on another server, two copies of the request could run at the same time.
 */
export function avoidedServers(plan: streams.AttemptPlan, runAlone: boolean): ReadonlySet<string> {
    return runAlone ? new Set([...plan.excluded].filter(server => !plan.disconnected.has(server))) : plan.excluded;
}
