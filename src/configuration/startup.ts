/** Brings a fresh process to the newest configuration that its peers and the object API know. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as sampling from "../core/sampling.js";
import * as bootstrap from "../gossip/bootstrap.js";
import type * as peers from "../gossip/peers.js";
import type * as tables from "../gossip/table.js";
import * as memberDocuments from "../membership/member-document.js";
import type * as objectApi from "../object-api/types.js";
import * as adoption from "./adoption.js";
import * as readers from "./store-reader.js";

const PURSUE_FAN_OUT = 3;
const PURSUE_TIMEOUT_MS = 150;

export interface StartupOptions {
    /** RPC address of this process. */
    readonly address: string;
    /** RPC addresses of other processes. */
    readonly seeds: readonly string[];
    readonly store: objectApi.ObjectStore;
    readonly documents: tables.DocumentTable;
    readonly peers: peers.Peers;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

export interface StartupReport extends bootstrap.BootstrapReport {
    /** Version that an earlier run of this process had in force, as far as its peers know; 0 when unknown. */
    readonly formerVersion: number;
}

/**
 * Fills the documents before the controllers start; takes at most 850 ms.
 *
 * Member documents name the configuration version of their process. When one names a higher version than the manifest
 * that the seeds hold, it is fetched from there. The former member document of a restarted process tells which version it had in
 * force; `ConfigurationController` takes it as the lowest version to adopt.
 */
export async function start(options: StartupOptions): Promise<StartupReport> {
    const reader = new readers.StoreReader(options.store, options.clock);
    const report = await bootstrap.bootstrap({ ...options, sources: [() => reader.documents()] });
    await pursue(options);
    const former = memberDocuments.readAll(options.documents)
        .find(member => member.incarnation.address === options.address);
    return { ...report, formerVersion: former?.manifestVersion ?? 0 };
}

async function pursue(options: StartupOptions): Promise<void> {
    const { documents, clock } = options;
    const known = documents.get(adoption.MANIFEST_DOCUMENT)?.version ?? 0;
    const ahead = memberDocuments.readAll(documents)
        .filter(member => member.manifestVersion > known && member.incarnation.address !== options.address);
    const chosen = sampling.sample(ahead, PURSUE_FAN_OUT, clock.random);
    if (chosen.length === 0) {
        return;
    }
    const fetches = chosen.map(async member => {
        const outcome = await options.peers.fetch(member.incarnation.address, [adoption.MANIFEST_DOCUMENT]);
        if (outcome.ok) {
            outcome.value.forEach(document => documents.offer(document));
        }
    });
    const done = new AbortController();
    await Promise.race([Promise.all(fetches), clock.sleep(PURSUE_TIMEOUT_MS, done.signal)]);
    done.abort();
}
