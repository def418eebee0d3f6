/** Transitions of a record group. Each returns the same group when it changes nothing. */
import * as crypto from "node:crypto";
import * as hashing from "../core/hashing.js";
import type * as types from "./types.js";

/** Fixed for the life of the stored records: another count would look for a key in another object. */
const GROUP_COUNT = 256;
const RECORD_ID_DIGITS = 32;
export const RETENTION_MS = 24 * 60 * 60 * 1000;
/** A record of a call that did not run only excludes late attempts, whose deadlines are far shorter. */
export const NOT_RUN_RETENTION_MS = 60 * 60 * 1000;
/** Leaves room below the 1 MB of the object API for JSON escapes and names. */
export const GROUP_LIMIT_BYTES = 900 * 1024;
/** Larger responses would let a few calls fill a group. */
export const STORED_RESPONSE_LIMIT_BYTES = 16 * 1024;
/** Size of a record without a response: identifiers, hashes, claim and exclusions. */
const RECORD_BYTES = 1536;
/** An attempt of the ninth-last request that was answered as not run is no longer excluded. */
const MAXIMUM_EXCLUSIONS = 8;

export interface Change<Result> {
    readonly group: types.RecordGroup;
    readonly result: Result;
}

export type ClaimResult =
    | { readonly kind: "claimed"; }
    | { readonly kind: "body-differs"; }
    | { readonly kind: "full"; }
    /** A later attempt of the same request was already answered as not run. */
    | { readonly kind: "superseded"; }
    | { readonly kind: "existing"; readonly record: types.CallRecord; };

/** `applied` is false when another claim owns the record now. */
export interface UpdateResult {
    readonly applied: boolean;
    readonly record: types.CallRecord | undefined;
}

export const emptyGroup: types.RecordGroup = { records: new Map() };

/** Identifier of the record of a key; customers and routes never share one. */
export function recordId(customer: string, route: string, key: string): string {
    return hashing.sha256(JSON.stringify([customer, route, key])).slice(0, RECORD_ID_DIGITS);
}

/** Name of the object that holds a record. */
export function groupName(id: string): string {
    return `idempotency/${hashing.hash32(id) % GROUP_COUNT}`;
}

/** Takes the claim unless a record excludes it. */
export function claim(
    group: types.RecordGroup,
    id: string,
    bodyHash: string,
    wanted: types.Claim,
    wallTime: number,
): Change<ClaimResult> {
    const record = group.records.get(id);
    if (record === undefined) {
        return admit(group, id, bodyHash, wanted, wallTime);
    }
    if (record.bodyHash !== bodyHash) {
        return { group, result: { kind: "body-differs" } };
    }
    if (record.state === "not-run") {
        return record.excluded.some(exclusion => excludes(exclusion, wanted))
            ? { group, result: { kind: "superseded" } }
            : admit(group, id, bodyHash, wanted, wallTime);
    }
    if (record.state === "claimed" && record.claim.id === wanted.id) {
        return { group, result: { kind: "claimed" } };
    }
    return { group, result: { kind: "existing", record } };
}

/** Stores the response of the holder of a claim. Also replaces a settlement as `unknown` or `not-run`. */
export function complete(
    group: types.RecordGroup,
    id: string,
    holder: types.Claim,
    bodyHash: string,
    response: types.StoredResponse,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record !== undefined && record.claim.id !== holder.id) {
        return { group, result: { applied: false, record } };
    }
    if (record?.state === "done") {
        return { group, result: { applied: true, record } };
    }
    const fitted = fitting(group, id, response);
    const excluded = record?.excluded ?? [];
    return replace(group, id, {
        state: "done",
        claim: holder,
        bodyHash,
        excluded,
        response: fitted,
        writtenAt: wallTime,
    });
}

/**
 * Gives up a claim under which nothing ran and nothing will. A record that is absent or that another claim left as
 * `not-run` is written too: the new version of the object excludes a delayed write of the claim, which was applied to
 * such a record. Any other record of another claim is newer than that write.
 */
export function release(
    group: types.RecordGroup,
    id: string,
    holder: types.Claim,
    bodyHash: string,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    const isFree = record === undefined || record.state === "not-run";
    const isOwn = record?.claim.id === holder.id;
    if (!isFree && !(isOwn && record.state === "claimed")) {
        return { group, result: { applied: isOwn, record } };
    }
    if (isOwn && record.state === "not-run") {
        return { group, result: { applied: true, record } };
    }
    const excluded = extended(record?.excluded ?? [], holder);
    return replace(group, id, { state: "not-run", claim: holder, bodyHash, excluded, writtenAt: wallTime });
}

/** Records that the holder sent the call and lost the answer. */
export function markUnknown(
    group: types.RecordGroup,
    id: string,
    holder: types.Claim,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record?.state !== "claimed" || record.claim.id !== holder.id) {
        return { group, result: { applied: record?.claim.id === holder.id, record } };
    }
    return replace(group, id, { ...record, state: "unknown", writtenAt: wallTime });
}

export type Verdict =
    | { readonly state: "done"; readonly response: types.StoredResponse; }
    | { readonly state: "not-run"; };

/** Replaces an open claim, or an unknown outcome, by what was found out about it. */
export function settle(
    group: types.RecordGroup,
    id: string,
    claimId: string,
    verdict: Verdict,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record === undefined || record.claim.id !== claimId) {
        return { group, result: { applied: false, record } };
    }
    if (record.state === "done" || record.state === "not-run") {
        return { group, result: { applied: record.state === verdict.state, record } };
    }
    const { claim: holder, bodyHash, excluded } = record;
    const common = { claim: holder, bodyHash, writtenAt: wallTime };
    return verdict.state === "done"
        ? replace(group, id, { ...common, state: "done", excluded, response: fitting(group, id, verdict.response) })
        : replace(group, id, { ...common, state: "not-run", excluded: extended(excluded, holder) });
}

/** Removes the records whose retention has ended. */
export function prune(group: types.RecordGroup, wallTime: number): types.RecordGroup {
    const kept = [...group.records].filter(([, record]) => wallTime - record.writtenAt < retentionMs(record));
    return kept.length === group.records.size ? group : { records: new Map(kept) };
}

/** Stored form of a response; only a digest of a large one is kept. */
export function storedResponse(response: types.ServiceResponse): types.StoredResponse {
    const headerBytes = JSON.stringify(response.headers).length;
    if (response.body.length + headerBytes > STORED_RESPONSE_LIMIT_BYTES) {
        return digest(response.status, response.body);
    }
    const { status, headers, body } = response;
    return { kind: "whole", status, headers, body: body.toString("base64") };
}

/** Stored form of a response whose body is not kept. */
export function digestOf(response: types.ServiceResponse): types.StoredResponse {
    return digest(response.status, response.body);
}

/** Upper bound of the encoded size in bytes. Each record counts with room for the digest of its response. */
export function sizeBytes(group: types.RecordGroup): number {
    let total = 0;
    for (const record of group.records.values()) {
        total += RECORD_BYTES + responseBytes(record);
    }
    return total;
}

function admit(
    group: types.RecordGroup,
    id: string,
    bodyHash: string,
    wanted: types.Claim,
    wallTime: number,
): Change<ClaimResult> {
    const excluded = group.records.get(id)?.excluded ?? [];
    const claimed = { state: "claimed", claim: wanted, bodyHash, excluded, writtenAt: wallTime } as const;
    const next = replace(group, id, claimed).group;
    if (sizeBytes(next) > GROUP_LIMIT_BYTES) {
        return { group, result: { kind: "full" } };
    }
    return { group: next, result: { kind: "claimed" } };
}

/** A `not-run` answer covers the recorded attempt and the earlier attempts of the same request. */
function excludes(exclusion: types.Exclusion, wanted: types.Claim): boolean {
    return exclusion.requestId === wanted.requestId && wanted.attempt <= exclusion.attempt;
}

function extended(excluded: readonly types.Exclusion[], holder: types.Claim): readonly types.Exclusion[] {
    const { requestId, attempt } = holder;
    const others = excluded.filter(exclusion => exclusion.requestId !== requestId);
    const own = excluded.find(exclusion => exclusion.requestId === requestId)?.attempt ?? attempt;
    return [...others, { requestId, attempt: Math.max(own, attempt) }].slice(-MAXIMUM_EXCLUSIONS);
}

function replace(group: types.RecordGroup, id: string, record: types.CallRecord): Change<UpdateResult> {
    const records = new Map(group.records).set(id, record);
    return { group: { records }, result: { applied: true, record } };
}

/** Keeps the whole response only when the group has room for it. */
function fitting(group: types.RecordGroup, id: string, response: types.StoredResponse): types.StoredResponse {
    if (response.kind === "digest") {
        return response;
    }
    const record = group.records.get(id);
    const others = sizeBytes(group) - (record === undefined ? 0 : responseBytes(record));
    const size = response.body.length + JSON.stringify(response.headers).length;
    return others + size <= GROUP_LIMIT_BYTES
        ? response
        : digest(response.status, Buffer.from(response.body, "base64"));
}

function digest(status: number, body: Buffer): types.StoredResponse {
    return {
        kind: "digest",
        status,
        bytes: body.length,
        sha256: crypto.createHash("sha256").update(body).digest("hex"),
    };
}

function responseBytes(record: types.CallRecord): number {
    return record.state === "done" && record.response.kind === "whole"
        ? record.response.body.length + JSON.stringify(record.response.headers).length
        : 0;
}

function retentionMs(record: types.CallRecord): number {
    return record.state === "not-run" ? NOT_RUN_RETENTION_MS : RETENTION_MS;
}
