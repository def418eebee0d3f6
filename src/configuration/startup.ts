/** Loads the newest configuration known to peers and the object API when a process starts. */
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

/** Members with a newer version that are asked for it at the same time. */
const FETCH_FAN_OUT = 3;
const FETCH_TIMEOUT_MS = 150;

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
    /** Version that this process had in force before a restart, according to its peers; 0 if unknown. */
    readonly formerVersion: number;
}

/**
 * Loads the documents before the controllers start, within at most 850 ms.
 *
 * Each member document contains the configuration version of its process. If a version is higher than that of the
 * manifest from the seeds, the manifest is fetched from that process. The earlier member document of a restarted
 * process shows which version it had in force; `ConfigurationController` does not adopt a lower one for some time.
 */
export async function start(options: StartupOptions): Promise<StartupReport> {
    const reader = new readers.StoreReader(options.store, options.clock);
    const report = await bootstrap.bootstrap({ ...options, sources: [() => reader.documents()] });
    await fetchNewerManifest(options);
    const ownMember = memberDocuments.readAll(options.documents)
        .find(member => member.incarnation.address === options.address);
    return { ...report, formerVersion: ownMember?.manifestVersion ?? 0 };
}

async function fetchNewerManifest(options: StartupOptions): Promise<void> {
    const { documents, clock } = options;
    const known = documents.get(adoption.MANIFEST_DOCUMENT)?.version ?? 0;
    const newer = memberDocuments.readAll(documents)
        .filter(member => member.manifestVersion > known && member.incarnation.address !== options.address);
    const sampled = sampling.sample(newer, FETCH_FAN_OUT, clock.random);
    if (sampled.length === 0) {
        return;
    }
    const fetches = sampled.map(async member => {
        const outcome = await options.peers.fetch(member.incarnation.address, [adoption.MANIFEST_DOCUMENT]);
        if (outcome.ok) {
            outcome.value.forEach(document => documents.offer(document));
        }
    });
    const finished = new AbortController();
    await Promise.race([Promise.all(fetches), clock.sleep(FETCH_TIMEOUT_MS, finished.signal)]);
    finished.abort();
}
