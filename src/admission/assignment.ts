/** Assignment of customers to groups and of groups to agents. */
import * as hashing from "../core/hashing.js";
import type * as incarnations from "../core/incarnation.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as membership from "../membership/types.js";

export interface Candidate {
    readonly incarnation: incarnations.Incarnation;
    readonly dataCentre: string;
}

export function groupOf(customer: string, groups: number): number {
    return hashing.hash32(customer) % groups;
}

/** Agents that may hold a group, best first. Draining agents take no new responsibility. */
export function candidatesFor(group: number, members: membership.Members): readonly Candidate[] {
    const nodes = [...members.values()]
        .filter(member => member.role === "agent" && member.state === "live")
        .map(member => ({ id: member.incarnation.address, weight: 1, member }));
    return rendezvous.rank(`budget/${group}`, nodes)
        .map(node => ({ incarnation: node.member.incarnation, dataCentre: node.member.dataCentre }));
}

/** Best standby for a primary: in another data centre where there is one. */
export function standbyFor(
    primary: string,
    candidates: readonly Candidate[],
    excluded: ReadonlySet<string>,
): incarnations.Incarnation | undefined {
    const home = candidates.find(candidate => candidate.incarnation.address === primary)?.dataCentre;
    const others = candidates.filter(candidate =>
        candidate.incarnation.address !== primary && !excluded.has(candidate.incarnation.address)
    );
    return (others.find(candidate => candidate.dataCentre !== home) ?? others.at(0))?.incarnation;
}
