/** Chooses between the servers of a call's own group and those of the other one. */
import type * as types from "./types.js";

const OTHER_KIND: Readonly<Record<types.PromptKind, types.PromptKind>> = { short: "long", long: "short" };

/** Eligible servers of a call by group. */
export interface GroupedCandidates {
    /** Servers of the call's own group; all servers if there is no division, or if no other server is left. */
    readonly own: readonly types.Candidate[];
    /** Servers of the other group that the call may use once those of its own have long queues. */
    readonly other: readonly types.Candidate[];
}

/** Groups the eligible servers. The division never leaves a call without a server that it would have had without it. */
export function groupCandidates(
    eligible: readonly types.Candidate[],
    request: types.PlacementRequest,
    latency: types.LatencyEstimate,
): GroupedCandidates {
    const { group } = request;
    if (group === undefined) {
        return { own: eligible, other: [] };
    }
    const own = eligible.filter(({ server }) => group.servers.has(server.id));
    const ownTokens = request.unsharedTokens + request.sharedTokens;
    const other = eligible.filter(({ server, pendingPromptTokens }) => {
        return !group.servers.has(server.id)
            && (pendingPromptTokens + ownTokens) * latency.msPerPromptToken <= group.maximumBacklogMs;
    });
    if (own.length > 0) {
        return { own, other };
    }
    return { own: other.length > 0 ? other : eligible, other: [] };
}

/** Names the group of a server, if there is a division. */
export function groupOfServer(
    candidate: types.Candidate,
    request: types.PlacementRequest,
): { readonly group?: types.PromptKind; } {
    const { group } = request;
    if (group === undefined) {
        return {};
    }
    return { group: isInGroup(candidate, request) ? group.kind : OTHER_KIND[group.kind] };
}

/** Whether a server belongs to the call's group, so that the call's shared parts are to be kept there. */
export function isInGroup({ server }: types.Candidate, { group }: types.PlacementRequest): boolean {
    return group === undefined || group.servers.has(server.id);
}
