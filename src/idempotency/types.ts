/** Records of calls that run at most once. */
import type * as incarnations from "../core/incarnation.js";

/** The right of one agent to run one call. */
export interface Claim {
    /** Unique identifier of the claim; recognizes the own claim after a lost answer of the store. */
    readonly id: string;
    readonly incarnation: incarnations.Incarnation;
    readonly requestId: string;
    readonly attempt: number;
    /**
     * Milliseconds after the preparation of the claim within which its holder may start the call. The claim is prepared
     * before it is written, so a reader that waits as long after its first read knows that the start is no longer
     * possible, without synchronized clocks.
     */
    readonly runWithinMs: number;
}

export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** A response as it is stored; large ones leave only a digest. */
export type StoredResponse =
    | {
        readonly kind: "whole";
        readonly status: number;
        readonly headers: Readonly<Record<string, string>>;
        readonly body: string;
    }
    | { readonly kind: "digest"; readonly status: number; readonly bytes: number; readonly sha256: string; };

/** Excludes the attempts of a request up to a number, since the request was answered as not run. */
export interface Exclusion {
    readonly requestId: string;
    readonly attempt: number;
}

/** State of a call. `unknown`: the holder sent the call and lost the answer. */
export type RecordState =
    | { readonly state: "claimed"; readonly claim: Claim; }
    | { readonly state: "done"; readonly claim: Claim; readonly response: StoredResponse; }
    | { readonly state: "not-run"; readonly claim: Claim; }
    | { readonly state: "unknown"; readonly claim: Claim; };

export type CallRecord = RecordState & {
    readonly bodyHash: string;
    /** Requests with the key that were answered as not run; a late attempt of one of them must not run. */
    readonly excluded: readonly Exclusion[];
    /** Milliseconds since the Unix epoch of the last change. */
    readonly writtenAt: number;
};

/** The records of one object of the store, by record identifier. */
export interface RecordGroup {
    readonly records: ReadonlyMap<string, CallRecord>;
}
