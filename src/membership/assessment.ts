/** Decides which members are live, leaving or gone. */
import type * as manifest from "../manifest/types.js";
import * as evidences from "./evidence.js";
import * as listings from "./listing.js";
import type * as types from "./types.js";

export type Assessment = "live" | "leaving" | "gone";

/**
 * Absence from the list after which a member is gone although no call to it failed, for example because its host
 * vanished. Longer than the lag of the list towards an instance that restarts.
 */
const GONE_AFTER_ABSENCE_MS = 10_000;
/** Absence from the list after which the document of a member is removed. */
export const REMOVE_AFTER_ABSENCE_MS = 10 * 60 * 1000;

export interface Situation {
    readonly configuration: manifest.Configuration;
    readonly listing: listings.Listing | undefined;
    readonly evidence: evidences.Evidence | undefined;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

/** Leaving takes precedence over live, and gone over both. */
export function assess(member: types.Member, situation: Situation): Assessment {
    if (evidences.holdsAgainst(situation.evidence, member.incarnation, situation.now)) {
        return "gone";
    }
    if (listings.absentForMs(situation.listing) >= GONE_AFTER_ABSENCE_MS) {
        return "gone";
    }
    const leaving = member.state === "draining"
        || situation.listing?.state === "leaving"
        || isRemovedByManifest(member, situation.configuration);
    return leaving ? "leaving" : "live";
}

/** An agent leaves when the manifest no longer names its backend server, or names it at another address. */
export function isRemovedByManifest(member: types.Member, configuration: manifest.Configuration): boolean {
    if (member.role !== "agent" || configuration.version === 0) {
        return false;
    }
    return configuration.backendServers.get(member.backendServer)?.agentAddress !== member.incarnation.address;
}

/** Members that are not gone; a leaving one has the state `draining`, whatever its own document says. */
export function membersOf(
    known: readonly types.Member[],
    situationOf: (member: types.Member) => Situation,
): types.Members {
    const members = new Map<string, types.Member>();
    for (const member of known) {
        const assessment = assess(member, situationOf(member));
        if (assessment !== "gone") {
            const state = assessment === "leaving" ? "draining" : "live";
            members.set(member.incarnation.address, member.state === state ? member : { ...member, state });
        }
    }
    return members;
}

/** True when both maps hold the same members; avoids notifications without a change. */
export function sameMembers(left: types.Members, right: types.Members): boolean {
    return left.size === right.size && [...left].every(([address, member]) => right.get(address) === member);
}
