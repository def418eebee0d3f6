/** Records of calls that run at most once. */
import type * as incarnations from "../core/incarnation.js";

/** The exclusive right of one agent to run one call. */
export interface Claim {
    /** Unique identifier; an agent recognizes its own claim by it after a response of the store was lost. */
    readonly id: string;
    readonly incarnation: incarnations.Incarnation;
    /** Hash of the request identifier. */
    readonly requestId: string;
    /** Number of the attempt of the request. */
    readonly attempt: number;
    /**
     * Milliseconds after the preparation of the claim within which its holder may start the call. The claim is prepared
     * before it is written, so a reader that waits this long after its first read knows that the call can no longer
     * start. This needs no synchronized clocks.
     */
    readonly runWithinMs: number;
}

export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** A response as it is stored; only a digest of a large response is kept. `body` is encoded as base64. */
export type StoredResponse =
    | {
        readonly kind: "whole";
        readonly status: number;
        readonly headers: Readonly<Record<string, string>>;
        readonly body: string;
    }
    | { readonly kind: "digest"; readonly status: number; readonly bytes: number; readonly sha256: string; };

/** Prevents the attempts of a request up to a number from running, because the request was reported as not run. */
export interface Exclusion {
    readonly requestId: string;
    readonly attempt: number;
}

/** State of a call. `unknown`: the claim holder sent the call but received no response. */
export type RecordState =
    | { readonly state: "claimed"; readonly claim: Claim; }
    | { readonly state: "done"; readonly claim: Claim; readonly response: StoredResponse; }
    | { readonly state: "not-run"; readonly claim: Claim; }
    | { readonly state: "unknown"; readonly claim: Claim; };

export type CallRecord = RecordState & {
    readonly bodyHash: string;
    /** Requests with the key that were reported as not run; late attempts of them must not run. */
    readonly excluded: readonly Exclusion[];
    /** Time of the last change, in milliseconds since the Unix epoch. */
    readonly writtenAt: number;
};

/** The records of one object of the store, by record identifier. */
export interface RecordGroup {
    readonly records: ReadonlyMap<string, CallRecord>;
}
