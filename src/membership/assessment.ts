/** Decides which members are live, leaving or gone. */
import type * as manifest from "../manifest/types.js";
import * as evidences from "./evidence.js";
import * as listings from "./listing.js";
import type * as types from "./types.js";

export type Assessment = "live" | "leaving" | "gone";

/**
 * Absence from the instance list after which a member counts as gone although no call to it failed, for example after
 * its host was lost. Longer than the time that the list can lag behind a restarted instance.
 */
const GONE_AFTER_ABSENCE_MS = 10_000;
/** Absence from the instance list after which the document of a member is removed. */
export const REMOVE_AFTER_ABSENCE_MS = 10 * 60 * 1000;

export interface AssessmentInput {
    readonly configuration: manifest.Configuration;
    readonly listing: listings.Listing | undefined;
    readonly evidence: evidences.Evidence | undefined;
    /** Monotonic time in milliseconds. */
    readonly now: number;
}

/** Assesses a member. Gone takes precedence over leaving, and leaving over live. */
export function assess(member: types.Member, input: AssessmentInput): Assessment {
    if (evidences.appliesTo(input.evidence, member.incarnation, input.now)) {
        return "gone";
    }
    if (listings.absentForMs(input.listing) >= GONE_AFTER_ABSENCE_MS) {
        return "gone";
    }
    const leaving = member.state === "draining"
        || input.listing?.state === "leaving"
        || isRemovedByManifest(member, input.configuration);
    return leaving ? "leaving" : "live";
}

/** An agent leaves when the manifest no longer names its backend server, or names it at another address. */
export function isRemovedByManifest(member: types.Member, configuration: manifest.Configuration): boolean {
    if (member.role !== "agent" || configuration.version === 0) {
        return false;
    }
    return configuration.backendServers.get(member.backendServer)?.agentAddress !== member.incarnation.address;
}

/** Members that are not gone. A leaving member gets the state `draining`, even if its own document says `live`. */
export function membersOf(
    known: readonly types.Member[],
    inputOf: (member: types.Member) => AssessmentInput,
): types.Members {
    const members = new Map<string, types.Member>();
    for (const member of known) {
        const assessment = assess(member, inputOf(member));
        if (assessment !== "gone") {
            const state = assessment === "leaving" ? "draining" : "live";
            members.set(member.incarnation.address, member.state === state ? member : { ...member, state });
        }
    }
    return members;
}

/** Whether both maps hold the same member objects; used to skip notifications when nothing changed. */
export function sameMembers(left: types.Members, right: types.Members): boolean {
    return left.size === right.size && [...left].every(([address, member]) => right.get(address) === member);
}
