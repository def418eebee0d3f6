/** Checks that precede any work of an agent. */
import * as versions from "../configuration/versions.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";

export interface GateOptions {
    readonly board: boards.Board;
    /** Whether the process may take new work. */
    readonly checkNewWork: () => outcomes.Outcome<undefined>;
    /** Fetches a configuration of at least the version from the given RPC address. */
    readonly require: (
        version: number,
        addresses: readonly string[],
    ) => Promise<outcomes.Outcome<manifest.Configuration>>;
}

/** What the gate needs to know of a call. */
export interface Arrival {
    /** Empty on open routes. */
    readonly customer: string;
    readonly manifestVersion: number;
    /** RPC address of the entry; empty when it does not name itself. */
    readonly caller: string;
}

export class Gate {
    constructor(private readonly options: GateOptions) {}

    /**
     * Returns the configuration under which the call runs. Each failure means that nothing ran.
     *
     * Fails with `server-leaving`, `configuration-stale`, `configuration-unavailable` or `customer-unknown`.
     */
    async pass(arrival: Arrival): Promise<outcomes.Outcome<manifest.Configuration>> {
        const open = this.options.checkNewWork();
        if (!open.ok) {
            return open;
        }
        const configuration = await this.agree(arrival);
        if (!configuration.ok) {
            return configuration;
        }
        // The fetched version may have removed the server.
        const stillOpen = this.options.checkNewWork();
        if (!stillOpen.ok) {
            return stillOpen;
        }
        const isKnown = arrival.customer === "" || configuration.value.customers.has(arrival.customer);
        return isKnown ? configuration : outcomes.fail("customer-unknown", arrival.customer);
    }

    /** Version to put on each response. */
    get version(): number {
        return this.options.board.read("configuration").version;
    }

    private async agree(arrival: Arrival): Promise<outcomes.Outcome<manifest.Configuration>> {
        const inForce = this.options.board.read("configuration");
        const decision = versions.decideAtAgent(arrival.manifestVersion, inForce.version);
        switch (decision.action) {
            case "serve":
                return outcomes.succeed(inForce);
            case "refuse":
                return { ok: false, failure: decision.failure };
            case "fetch":
                return this.options.require(decision.version, arrival.caller === "" ? [] : [arrival.caller]);
        }
    }
}
