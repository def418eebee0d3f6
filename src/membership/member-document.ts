/** Reads and writes the document `member/<address>`. */
import * as zod from "zod";
import type * as gossip from "../gossip/types.js";
import type * as types from "./types.js";

const PREFIX = "member/";
/**
 * Versions per millisecond of uptime that a process can publish without exceeding the first version of its next run.
 */
const VERSIONS_PER_MILLISECOND = 1024;

const member = zod.object({
    incarnation: zod.object({ address: zod.string(), boot: zod.string() }),
    role: zod.enum(["entry", "agent"]),
    dataCentre: zod.string(),
    backendServer: zod.string(),
    state: zod.enum(["live", "draining"]),
    weights: zod.array(zod.string()),
    manifestVersion: zod.number(),
    backendBoot: zod.string(),
});

export function nameOf(address: string): string {
    return PREFIX + address;
}

/** First version of a run of the process. `wallTime` is its start in milliseconds since the Unix epoch. */
export function firstVersion(wallTime: number): number {
    return Math.floor(wallTime) * VERSIONS_PER_MILLISECOND;
}

export function toDocument(value: types.Member, version: number): gossip.Document {
    return { name: nameOf(value.incarnation.address), version, value };
}

/** Parses a member document; undefined if the value is invalid or has another address than the document name. */
export function fromDocument(document: gossip.Document): types.Member | undefined {
    const result = member.safeParse(document.value);
    return result.success && nameOf(result.data.incarnation.address) === document.name ? result.data : undefined;
}

export function readAll(documents: Pick<gossip.Documents, "list">): readonly types.Member[] {
    return documents.list(PREFIX).flatMap(document => fromDocument(document) ?? []);
}

export const MEMBER_PREFIX = PREFIX;
