/** Assignment of customers to groups and of groups to agents. */
import * as hashing from "../core/hashing.js";
import type * as incarnations from "../core/incarnation.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as membership from "../membership/types.js";

export interface CandidateAgent {
    readonly incarnation: incarnations.Incarnation;
    readonly dataCentre: string;
}

export function groupOf(customer: string, groupCount: number): number {
    return hashing.hash32(customer) % groupCount;
}

/** Agents that may hold a group, in order of preference. Draining agents are left out. */
export function rankCandidates(group: number, members: membership.Members): readonly CandidateAgent[] {
    const agents = [...members.values()]
        .filter(member => member.role === "agent" && member.state === "live")
        .map(member => ({ id: member.incarnation.address, weight: 1, member }));
    return rendezvous.rank(`budget/${group}`, agents)
        .map(node => ({ incarnation: node.member.incarnation, dataCentre: node.member.dataCentre }));
}

/** The preferred standby for a primary: an agent in another data centre if there is one. */
export function chooseStandby(
    primary: string,
    candidates: readonly CandidateAgent[],
    excluded: ReadonlySet<string>,
): incarnations.Incarnation | undefined {
    const primaryDataCentre = candidates.find(candidate => candidate.incarnation.address === primary)?.dataCentre;
    const others = candidates.filter(candidate =>
        candidate.incarnation.address !== primary && !excluded.has(candidate.incarnation.address)
    );
    return (others.find(candidate => candidate.dataCentre !== primaryDataCentre) ?? others.at(0))?.incarnation;
}
