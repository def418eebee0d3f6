/** Live requests by key hash; each one ends when its key is revoked. */
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import * as authentication from "../entry/authentication.js";
import type * as manifest from "../manifest/types.js";
import * as keys from "./keys.js";

/** A request that is registered until it is disposed. */
export interface LiveRequest extends Disposable {
    readonly customer: manifest.Customer;
    readonly keyHash: string;
    /** Aborted when the key is revoked; the reason is a `FailureError` with the failure `key-revoked`. */
    readonly signal: AbortSignal;
}

interface Entry {
    readonly customer: string;
    readonly controller: AbortController;
}

export class LiveRequests implements Disposable {
    private readonly entries = new Map<string, Set<Entry>>();
    private readonly subscription: Disposable;

    constructor(private readonly board: boards.Board) {
        this.subscription = board.subscribe("configuration", configuration => this.endRevoked(configuration));
    }

    /** Number of registered requests. */
    get count(): number {
        return [...this.entries.values()].reduce((total, entries) => total + entries.size, 0);
    }

    /**
     * Authorizes a key under the configuration in force and registers the request. Both happen in one step, so that
     * no adoption falls between them. Fails with `key-unknown`.
     */
    admit(keyHash: string): outcomes.Outcome<LiveRequest> {
        const found = authentication.authorize(keyHash, this.board.read("configuration"));
        if (!found.ok) {
            return found;
        }
        const entry = { customer: found.value.customer.name, controller: new AbortController() };
        const entries = this.entries.get(keyHash) ?? new Set();
        this.entries.set(keyHash, entries);
        entries.add(entry);
        return outcomes.succeed({
            customer: found.value.customer,
            keyHash,
            signal: entry.controller.signal,
            [Symbol.dispose]: () => this.remove(keyHash, entry),
        });
    }

    [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private endRevoked(configuration: manifest.Configuration): void {
        for (const [keyHash, entries] of [...this.entries]) {
            for (const entry of [...entries]) {
                const authorized = keys.authorizeAgain(configuration, keyHash, entry.customer);
                if (!authorized.ok) {
                    this.remove(keyHash, entry);
                    entry.controller.abort(new failures.FailureError(authorized.failure));
                }
            }
        }
    }

    private remove(keyHash: string, entry: Entry): void {
        const entries = this.entries.get(keyHash);
        entries?.delete(entry);
        if (entries?.size === 0) {
            this.entries.delete(keyHash);
        }
    }
}
