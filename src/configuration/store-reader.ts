/** Reads the manifest from the object API, with a timeout for each call. */
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import type * as gossip from "../gossip/types.js";
import type * as objectApi from "../object-api/types.js";
import * as adoption from "./adoption.js";

/** Limits the call rate of a watcher when the object API answers watches immediately. */
const MINIMUM_WATCH_INTERVAL_MS = 50;
/**
 * Time for which the object API holds a watch open, and thus the maximum age of the confirmation of the object API that
 * a watcher passes to its peers.
 */
export const WATCH_WAIT_MS = 1000;
const READ_TIMEOUT_MS = 1000;
const WATCH_TIMEOUT_MS = WATCH_WAIT_MS + READ_TIMEOUT_MS;
/** Spreads the reads of processes that start together. */
const START_JITTER_MS = 200;

/** Reads and watches the manifest. */
export class StoreReader {
    constructor(private readonly store: objectApi.ObjectStore, private readonly clock: clocks.Clock) {}

    /** Reads the manifest; undefined when there is none. Fails with `store-unavailable`. */
    async read(): Promise<outcomes.Outcome<adoption.Candidate | undefined>> {
        const outcome = await this.withTimeout(this.store.get(adoption.MANIFEST_OBJECT), READ_TIMEOUT_MS);
        if (!outcome.ok) {
            return outcome;
        }
        return outcomes.succeed(outcome.value === undefined ? undefined : candidateOf(outcome.value));
    }

    /** Waits for manifests newer than a revision. Fails with `store-unavailable`. */
    async watch(
        afterRevision: number,
    ): Promise<outcomes.Outcome<{ readonly revision: number; readonly candidates: readonly adoption.Candidate[]; }>> {
        const startedAt = this.clock.now();
        const call = this.store.watch(adoption.MANIFEST_OBJECT, afterRevision, WATCH_WAIT_MS);
        const outcome = await this.withTimeout(call, WATCH_TIMEOUT_MS);
        if (!outcome.ok) {
            return outcome;
        }
        const candidates = outcome.value.objects
            .filter(object => object.name === adoption.MANIFEST_OBJECT)
            .map(candidateOf);
        if (candidates.length === 0) {
            await this.clock.sleep(MINIMUM_WATCH_INTERVAL_MS - (this.clock.now() - startedAt));
        }
        return outcomes.succeed({ revision: outcome.value.revision, candidates });
    }

    /** Reads the manifest as a gossip document, for the start of a process. */
    async documents(): Promise<outcomes.Outcome<readonly gossip.Document[]>> {
        await this.clock.sleep(this.clock.random() * START_JITTER_MS);
        const outcome = await this.read();
        if (!outcome.ok) {
            return outcome;
        }
        return outcomes.succeed(outcome.value === undefined ? [] : [adoption.toDocument(outcome.value)]);
    }

    private async withTimeout<Value>(
        call: Promise<outcomes.Outcome<Value>>,
        timeoutMs: number,
    ): Promise<outcomes.Outcome<Value>> {
        const settled = new AbortController();
        const timeout = this.clock.sleep(timeoutMs, settled.signal)
            .then(() => outcomes.fail("store-unavailable", `no response within ${timeoutMs} ms`));
        try {
            return await Promise.race([call, timeout]);
        }
        finally {
            settled.abort();
        }
    }
}

function candidateOf(object: objectApi.StoredObject): adoption.Candidate {
    return { version: object.version, text: object.value };
}
