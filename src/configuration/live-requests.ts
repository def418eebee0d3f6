/** Requests in flight by key hash; each is aborted when its key is revoked. */
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

interface Registration {
    /** Name of the customer. */
    readonly customer: string;
    readonly controller: AbortController;
}

/** Registry of the requests in flight. */
export class LiveRequests implements Disposable {
    private readonly registrations = new Map<string, Set<Registration>>();
    private readonly subscription: Disposable;

    constructor(private readonly board: boards.Board) {
        this.subscription = board.subscribe("configuration", configuration => this.abortRevoked(configuration));
    }

    /** Number of registered requests. */
    get count(): number {
        return [...this.registrations.values()].reduce((total, registrations) => total + registrations.size, 0);
    }

    /**
     * Authorizes a key under the configuration in force and registers the request. Both happen synchronously, so that
     * no other configuration can be adopted in between. Fails with `key-unknown`.
     */
    admit(keyHash: string): outcomes.Outcome<LiveRequest> {
        const authorized = authentication.authorize(keyHash, this.board.read("configuration"));
        if (!authorized.ok) {
            return authorized;
        }
        const registration = { customer: authorized.value.customer.name, controller: new AbortController() };
        const registrations = this.registrations.get(keyHash) ?? new Set();
        this.registrations.set(keyHash, registrations);
        registrations.add(registration);
        return outcomes.succeed({
            customer: authorized.value.customer,
            keyHash,
            signal: registration.controller.signal,
            [Symbol.dispose]: () => this.remove(keyHash, registration),
        });
    }

    [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
    }

    private abortRevoked(configuration: manifest.Configuration): void {
        for (const [keyHash, registrations] of [...this.registrations]) {
            for (const registration of [...registrations]) {
                const authorized = keys.reauthorize(configuration, keyHash, registration.customer);
                if (!authorized.ok) {
                    this.remove(keyHash, registration);
                    registration.controller.abort(new failures.FailureError(authorized.failure));
                }
            }
        }
    }

    private remove(keyHash: string, registration: Registration): void {
        const registrations = this.registrations.get(keyHash);
        registrations?.delete(registration);
        if (registrations?.size === 0) {
            this.registrations.delete(keyHash);
        }
    }
}
