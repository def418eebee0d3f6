/** Interfaces of the platform's object API and instance list. */
import type * as outcomes from "../core/outcome.js";

export interface StoredObject {
    readonly name: string;
    /** Store revision at which the object was last written. */
    readonly version: number;
    readonly value: string;
}

export interface ObjectChanges {
    /** Store revision up to which `objects` contains every change. */
    readonly revision: number;
    readonly objects: readonly StoredObject[];
}

/** Expected version of a conditional update that requires the object not to exist. */
export const ABSENT = 0;

/** The object API. Each call fails with `store-unavailable` if the store does not respond. */
export interface ObjectStore {
    get(name: string): Promise<outcomes.Outcome<StoredObject | undefined>>;
    list(prefix: string): Promise<outcomes.Outcome<readonly StoredObject[]>>;
    /**
     * Writes the value if the object has the expected version, and returns the new version.
     *
     * Fails with `store-conflict` if the version differs, with `store-unavailable` if nothing was written, and with
     * `store-write-unconfirmed` if the response was lost and the write may have taken effect.
     */
    put(name: string, value: string, expectedVersion: number): Promise<outcomes.Outcome<number>>;
    /** Long poll: waits up to `waitMs` milliseconds for changes after a revision. */
    watch(prefix: string, afterRevision: number, waitMs: number): Promise<outcomes.Outcome<ObjectChanges>>;
}

export interface ListedInstance {
    /** RPC address of the process on the instance. */
    readonly address: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly state: "live" | "leaving";
}

/** The platform's instance list, which shows changes with a delay. Fails with `store-unavailable`. */
export interface InstanceList {
    list(): Promise<outcomes.Outcome<readonly ListedInstance[]>>;
}
