/** Fetches the documents that a starting process needs from its seeds and other sources concurrently. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as outcomes from "../core/outcome.js";
import * as sampling from "../core/sampling.js";
import type * as peers from "./peers.js";
import type * as tables from "./table.js";
import type * as types from "./types.js";

/** Seeds asked concurrently, and the number of seeds whose responses suffice. */
const SEED_BATCH_SIZE = 3;
/** Longest wait for one batch of seeds before the next batch is asked too. */
const SEED_BATCH_INTERVAL_MS = 150;
/**
 * Longest wait for the other sources after the seeds have responded. Otherwise a source that is down would delay every
 * restart until the deadline. A response that arrives later is still stored.
 */
const SOURCE_GRACE_PERIOD_MS = 100;
/** A process must serve requests within 1 s of its start; the remaining time is for starting its servers. */
const DEADLINE_MS = 700;

/** A source of documents other than the seeds, for example the object API. */
export type Source = () => Promise<outcomes.Outcome<readonly types.Document[]>>;

export interface BootstrapOptions {
    readonly seeds: readonly string[];
    readonly sources: readonly Source[];
    readonly documents: tables.DocumentTable;
    readonly peers: peers.Peers;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

export interface BootstrapReport {
    /** Seeds and sources that responded in time. */
    readonly answered: number;
    readonly asked: number;
}

/**
 * Stores the highest version of each document that the seeds and sources have.
 *
 * Waits until three seeds have responded, or each seed has responded or failed. If any seed responded, it then waits up to
 * 100 ms for the other sources, otherwise until each of them has responded or failed. It ends after 700 ms at the
 * latest; responses that arrive later are still stored.
 */
export async function bootstrap(options: BootstrapOptions): Promise<BootstrapReport> {
    const run = new BootstrapRun(options);
    const stop = new AbortController();
    await Promise.race([run.complete(stop.signal), options.clock.sleep(DEADLINE_MS, stop.signal)]);
    stop.abort();
    const report = { answered: run.answered, asked: run.asked };
    options.journal.emit("bootstrap-finished", { ...report, documents: options.documents.size });
    return report;
}

class BootstrapRun {
    answered = 0;
    asked = 0;
    private answeredSeeds = 0;

    constructor(private readonly options: BootstrapOptions) {}

    async complete(stop: AbortSignal): Promise<void> {
        const sources = Promise.all(this.options.sources.map(source => this.ask(source)));
        await this.askSeeds(stop);
        const grace = this.options.clock.sleep(SOURCE_GRACE_PERIOD_MS, stop);
        await (this.answeredSeeds > 0 ? Promise.race([sources, grace]) : sources);
    }

    private async askSeeds(stop: AbortSignal): Promise<void> {
        const { seeds, clock } = this.options;
        const order = sampling.sample(seeds, seeds.length, clock.random);
        const enough = new AbortController();
        const calls: Promise<void>[] = [];
        for (let next = 0; next < order.length && !stop.aborted && !enough.signal.aborted; next += SEED_BATCH_SIZE) {
            const batch = order.slice(next, next + SEED_BATCH_SIZE).map(seed => this.askSeed(seed, enough));
            calls.push(...batch);
            const batchFinished = new AbortController();
            void Promise.all(batch).then(() => batchFinished.abort());
            await clock.sleep(SEED_BATCH_INTERVAL_MS, AbortSignal.any([stop, enough.signal, batchFinished.signal]));
        }
        await Promise.race([Promise.all(calls), whenAborted(enough.signal)]);
    }

    private async askSeed(seed: string, enough: AbortController): Promise<void> {
        if (await this.ask(() => this.options.peers.fetch(seed, []))) {
            this.answeredSeeds++;
        }
        if (this.answeredSeeds >= SEED_BATCH_SIZE) {
            enough.abort();
        }
    }

    private async ask(source: Source): Promise<boolean> {
        this.asked++;
        const outcome = await source();
        if (outcome.ok) {
            this.answered++;
            outcome.value.forEach(document => this.options.documents.offer(document));
        }
        return outcome.ok;
    }
}

function whenAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
