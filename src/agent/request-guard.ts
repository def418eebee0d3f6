/** Checks that an agent makes before it starts any work of a call. */
import * as versions from "../configuration/versions.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";

export interface RequestGuardOptions {
    readonly board: boards.Board;
    /** Fails while the process accepts no new work. */
    readonly checkNewWork: () => outcomes.Outcome<undefined>;
    /** Fetches a configuration of at least this version from the given RPC addresses. */
    readonly fetchConfiguration: (
        version: number,
        addresses: readonly string[],
    ) => Promise<outcomes.Outcome<manifest.Configuration>>;
}

/** The properties of a call that are checked. */
export interface IncomingCall {
    /** Empty on routes that need no key. */
    readonly customer: string;
    /** Version of the configuration that the entry used. */
    readonly manifestVersion: number;
    /** RPC address of the entry; empty if the request does not name it. */
    readonly callerAddress: string;
}

export class RequestGuard {
    constructor(private readonly options: RequestGuardOptions) {}

    /**
     * Returns the configuration that applies to the call. On any failure, nothing has run.
     *
     * Fails with `server-leaving`, `configuration-stale`, `configuration-unavailable` or `customer-unknown`.
     */
    async check(call: IncomingCall): Promise<outcomes.Outcome<manifest.Configuration>> {
        const acceptance = this.options.checkNewWork();
        if (!acceptance.ok) {
            return acceptance;
        }
        const configuration = await this.resolveConfiguration(call);
        if (!configuration.ok) {
            return configuration;
        }
        // The fetched version may no longer contain this server.
        const secondAcceptance = this.options.checkNewWork();
        if (!secondAcceptance.ok) {
            return secondAcceptance;
        }
        const isKnown = call.customer === "" || configuration.value.customers.has(call.customer);
        return isKnown ? configuration : outcomes.fail("customer-unknown", call.customer);
    }

    /** Configuration version to send with each response. */
    get version(): number {
        return this.options.board.read("configuration").version;
    }

    private async resolveConfiguration(call: IncomingCall): Promise<outcomes.Outcome<manifest.Configuration>> {
        const inForce = this.options.board.read("configuration");
        const decision = versions.decideAtAgent(call.manifestVersion, inForce.version);
        switch (decision.action) {
            case "serve":
                return outcomes.succeed(inForce);
            case "refuse":
                return { ok: false, failure: decision.failure };
            case "fetch":
                return this.options.fetchConfiguration(
                    decision.version,
                    call.callerAddress === "" ? [] : [call.callerAddress],
                );
        }
    }
}
