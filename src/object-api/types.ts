/** Interfaces of the services of the platform. */
import type * as outcomes from "../core/outcome.js";

export interface StoredObject {
    readonly name: string;
    /** Revision of the store at which the object was last written. */
    readonly version: number;
    readonly value: string;
}

export interface Change {
    /** Revision up to which the changes are complete. */
    readonly revision: number;
    readonly objects: readonly StoredObject[];
}

/** Version that a conditional update expects when the object must not exist. */
export const ABSENT = 0;

/** The object API. Each call fails with `store-unavailable` when the store did not answer. */
export interface ObjectStore {
    get(name: string): Promise<outcomes.Outcome<StoredObject | undefined>>;
    list(prefix: string): Promise<outcomes.Outcome<readonly StoredObject[]>>;
    /**
     * Writes the value if the object still has the expected version, and returns the new version.
     *
     * Fails with `store-conflict` when the version differs, with `store-unavailable` when nothing was written, and
     * with `store-write-unconfirmed` when the answer was lost and the write may have taken effect.
     */
    put(name: string, value: string, expectedVersion: number): Promise<outcomes.Outcome<number>>;
    /** Waits up to `waitMs` milliseconds for changes after a revision. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<outcomes.Outcome<Change>>;
}

export interface ListedInstance {
    /** RPC address of the process on the instance. */
    readonly address: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly state: "live" | "leaving";
}

/** The lagging list of instances. Fails with `store-unavailable`. */
export interface InstanceList {
    list(): Promise<outcomes.Outcome<readonly ListedInstance[]>>;
}
