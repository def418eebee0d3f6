/** State transitions of the records of a group. Each returns the same group object if it changes nothing. */
import * as crypto from "node:crypto";
import * as hashing from "../core/hashing.js";
import type * as types from "./types.js";

/** Must not change while records are stored, because it determines the object that holds the record of a key. */
const GROUP_COUNT = 256;
const RECORD_ID_HEX_DIGITS = 32;
/** How long a record is kept after its last change, unless its state is `not-run`. */
export const RETENTION_MS = 24 * 60 * 60 * 1000;
/** A `not-run` record only prevents late attempts, whose deadlines are far shorter than this. */
export const NOT_RUN_RETENTION_MS = 60 * 60 * 1000;
/** Leaves room for JSON escapes and names below the 1 MB limit of the object API. */
export const GROUP_LIMIT_BYTES = 900 * 1024;
/** Only a digest of a larger response is stored, so that a few calls cannot fill a group. */
export const STORED_RESPONSE_LIMIT_BYTES = 16 * 1024;
/** Size of a record without a response: identifiers, hashes, claim and exclusions. */
const RECORD_OVERHEAD_BYTES = 1536;
/** Exclusions kept for each record; the oldest is dropped when a ninth request is reported as not run. */
const MAXIMUM_EXCLUSIONS = 8;

/** The group after a transition, and the result of the transition. */
export interface Change<Result> {
    readonly group: types.RecordGroup;
    readonly result: Result;
}

export type ClaimResult =
    | { readonly kind: "claimed"; }
    | { readonly kind: "body-differs"; }
    | { readonly kind: "full"; }
    /** This attempt or a later one of the same request was already reported as not run. */
    | { readonly kind: "superseded"; }
    /** The key already has a record of another claim. */
    | { readonly kind: "existing"; readonly record: types.CallRecord; };

/** `applied` is false if another claim owns the record or if it was already settled in another state. */
export interface UpdateResult {
    readonly applied: boolean;
    readonly record: types.CallRecord | undefined;
}

export const emptyGroup: types.RecordGroup = { records: new Map() };

/** Identifier of the record of an idempotency key, which is scoped to a customer and a route. */
export function recordId(customer: string, route: string, key: string): string {
    return hashing.sha256(JSON.stringify([customer, route, key])).slice(0, RECORD_ID_HEX_DIGITS);
}

/** Name of the object in the store that holds the record. */
export function groupName(id: string): string {
    return `idempotency/${hashing.hash32(id) % GROUP_COUNT}`;
}

/** Adds the claim unless the group has a record that prevents it or no room for another one. */
export function claim(
    group: types.RecordGroup,
    id: string,
    bodyHash: string,
    newClaim: types.Claim,
    wallTime: number,
): Change<ClaimResult> {
    const record = group.records.get(id);
    if (record === undefined) {
        return addClaim(group, id, bodyHash, newClaim, wallTime);
    }
    if (record.bodyHash !== bodyHash) {
        return { group, result: { kind: "body-differs" } };
    }
    if (record.state === "not-run") {
        return record.excluded.some(exclusion => excludes(exclusion, newClaim))
            ? { group, result: { kind: "superseded" } }
            : addClaim(group, id, bodyHash, newClaim, wallTime);
    }
    if (record.state === "claimed" && record.claim.id === newClaim.id) {
        return { group, result: { kind: "claimed" } };
    }
    return { group, result: { kind: "existing", record } };
}

/** Stores the response that the claim holder received. Also replaces the states `unknown` and `not-run`. */
export function complete(
    group: types.RecordGroup,
    id: string,
    heldClaim: types.Claim,
    bodyHash: string,
    response: types.StoredResponse,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record !== undefined && record.claim.id !== heldClaim.id) {
        return { group, result: { applied: false, record } };
    }
    if (record?.state === "done") {
        return { group, result: { applied: true, record } };
    }
    const fitted = fitResponse(group, id, response);
    const excluded = record?.excluded ?? [];
    return replaceRecord(group, id, {
        state: "done",
        claim: heldClaim,
        bodyHash,
        excluded,
        response: fitted,
        writtenAt: wallTime,
    });
}

/**
 * Releases a claim whose call did not run and will not run.
 *
 * This also writes a record when there is none, or when another claim left one as `not-run`: the claim may be in a
 * delayed write that expects this version of the object, and the new version makes that write fail. A record of another
 * claim in any other state is newer than the version that the delayed write expects.
 */
export function release(
    group: types.RecordGroup,
    id: string,
    heldClaim: types.Claim,
    bodyHash: string,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    const isClaimable = record === undefined || record.state === "not-run";
    const isOwnClaim = record?.claim.id === heldClaim.id;
    if (!isClaimable && !(isOwnClaim && record.state === "claimed")) {
        return { group, result: { applied: isOwnClaim, record } };
    }
    if (isOwnClaim && record.state === "not-run") {
        return { group, result: { applied: true, record } };
    }
    const excluded = withExclusion(record?.excluded ?? [], heldClaim);
    return replaceRecord(group, id, { state: "not-run", claim: heldClaim, bodyHash, excluded, writtenAt: wallTime });
}

/** Records that the claim holder sent the call but received no response. */
export function markUnknown(
    group: types.RecordGroup,
    id: string,
    heldClaim: types.Claim,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record?.state !== "claimed" || record.claim.id !== heldClaim.id) {
        return { group, result: { applied: record?.claim.id === heldClaim.id, record } };
    }
    return replaceRecord(group, id, { ...record, state: "unknown", writtenAt: wallTime });
}

/** Final state of a call that was determined on behalf of the claim holder. */
export type SettledState =
    | { readonly state: "done"; readonly response: types.StoredResponse; }
    | { readonly state: "not-run"; };

/** Replaces the state `claimed` or `unknown` of a record by its settled state. */
export function settle(
    group: types.RecordGroup,
    id: string,
    claimId: string,
    settled: SettledState,
    wallTime: number,
): Change<UpdateResult> {
    const record = group.records.get(id);
    if (record === undefined || record.claim.id !== claimId) {
        return { group, result: { applied: false, record } };
    }
    if (record.state === "done" || record.state === "not-run") {
        return { group, result: { applied: record.state === settled.state, record } };
    }
    const { claim: heldClaim, bodyHash, excluded } = record;
    const common = { claim: heldClaim, bodyHash, writtenAt: wallTime };
    return settled.state === "done"
        ? replaceRecord(group, id, {
            ...common,
            state: "done",
            excluded,
            response: fitResponse(group, id, settled.response),
        })
        : replaceRecord(group, id, { ...common, state: "not-run", excluded: withExclusion(excluded, heldClaim) });
}

/** Removes the records whose retention period has ended. */
export function prune(group: types.RecordGroup, wallTime: number): types.RecordGroup {
    const kept = [...group.records].filter(([, record]) => wallTime - record.writtenAt < retentionMs(record));
    return kept.length === group.records.size ? group : { records: new Map(kept) };
}

/** Returns the stored form of a response: the whole response, or only a digest if it is large. */
export function storedResponse(response: types.ServiceResponse): types.StoredResponse {
    const headerBytes = JSON.stringify(response.headers).length;
    if (response.body.length + headerBytes > STORED_RESPONSE_LIMIT_BYTES) {
        return digest(response.status, response.body);
    }
    const { status, headers, body } = response;
    return { kind: "whole", status, headers, body: body.toString("base64") };
}

/** Returns the stored form of a response whose body is not kept. */
export function digestOnly(response: types.ServiceResponse): types.StoredResponse {
    return digest(response.status, response.body);
}

/** Upper bound of the encoded size in bytes. Includes room for the digest of a response in each record. */
export function sizeBytes(group: types.RecordGroup): number {
    let total = 0;
    for (const record of group.records.values()) {
        total += RECORD_OVERHEAD_BYTES + responseBytes(record);
    }
    return total;
}

function addClaim(
    group: types.RecordGroup,
    id: string,
    bodyHash: string,
    newClaim: types.Claim,
    wallTime: number,
): Change<ClaimResult> {
    const excluded = group.records.get(id)?.excluded ?? [];
    const claimed = { state: "claimed", claim: newClaim, bodyHash, excluded, writtenAt: wallTime } as const;
    const next = replaceRecord(group, id, claimed).group;
    if (sizeBytes(next) > GROUP_LIMIT_BYTES) {
        return { group, result: { kind: "full" } };
    }
    return { group: next, result: { kind: "claimed" } };
}

/** Whether the exclusion covers the claim: it applies to its own attempt and the earlier ones of the same request. */
function excludes(exclusion: types.Exclusion, newClaim: types.Claim): boolean {
    return exclusion.requestId === newClaim.requestId && newClaim.attempt <= exclusion.attempt;
}

function withExclusion(excluded: readonly types.Exclusion[], heldClaim: types.Claim): readonly types.Exclusion[] {
    const { requestId, attempt } = heldClaim;
    const others = excluded.filter(exclusion => exclusion.requestId !== requestId);
    const own = excluded.find(exclusion => exclusion.requestId === requestId)?.attempt ?? attempt;
    return [...others, { requestId, attempt: Math.max(own, attempt) }].slice(-MAXIMUM_EXCLUSIONS);
}

function replaceRecord(group: types.RecordGroup, id: string, record: types.CallRecord): Change<UpdateResult> {
    const records = new Map(group.records).set(id, record);
    return { group: { records }, result: { applied: true, record } };
}

/** Replaces the response by its digest if the group has no room for it. */
function fitResponse(group: types.RecordGroup, id: string, response: types.StoredResponse): types.StoredResponse {
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
