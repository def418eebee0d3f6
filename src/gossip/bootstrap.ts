/** Reads the documents that a fresh process needs from its seeds and other sources, all at the same time. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as outcomes from "../core/outcome.js";
import * as sampling from "../core/sampling.js";
import type * as peers from "./peers.js";
import type * as tables from "./table.js";
import type * as types from "./types.js";

/** Seeds that are asked at once, and answers that suffice. */
const WAVE_SIZE = 3;
/** Wait for the answers of one wave before the next seeds are asked as well. */
const WAVE_INTERVAL_MS = 150;
/**
 * Wait for a source after the seeds have answered. A source that is down would otherwise delay each restart to the
 * deadline; its answer is still stored when it comes later.
 */
const SOURCE_GRACE_MS = 100;
/** A process must serve within 1 s of its start; the remainder is for starting its servers. */
const DEADLINE_MS = 700;

/** A further source of documents, for example the object API. */
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
    /** Seeds and sources that answered in time. */
    readonly answered: number;
    readonly asked: number;
}

/**
 * Stores the highest version of each document that the sources know.
 *
 * Ends when three seeds have answered or every seed has answered or failed, and each source has answered or failed or
 * had 100 ms more; without an answer of a seed it waits for the sources; at the latest after 700 ms. An answer that
 * comes later is still stored.
 */
export async function bootstrap(options: BootstrapOptions): Promise<BootstrapReport> {
    const run = new Run(options);
    const stop = new AbortController();
    await Promise.race([run.complete(stop.signal), options.clock.sleep(DEADLINE_MS, stop.signal)]);
    stop.abort();
    const report = { answered: run.answered, asked: run.asked };
    options.journal.emit("bootstrap-finished", { ...report, documents: options.documents.size });
    return report;
}

class Run {
    answered = 0;
    asked = 0;
    private answeredSeeds = 0;

    constructor(private readonly options: BootstrapOptions) {}

    async complete(stop: AbortSignal): Promise<void> {
        const sources = Promise.all(this.options.sources.map(source => this.ask(source)));
        await this.askSeeds(stop);
        const grace = this.options.clock.sleep(SOURCE_GRACE_MS, stop);
        await (this.answeredSeeds > 0 ? Promise.race([sources, grace]) : sources);
    }

    private async askSeeds(stop: AbortSignal): Promise<void> {
        const { seeds, clock } = this.options;
        const order = sampling.sample(seeds, seeds.length, clock.random);
        const enough = new AbortController();
        const calls: Promise<void>[] = [];
        for (let next = 0; next < order.length && !stop.aborted && !enough.signal.aborted; next += WAVE_SIZE) {
            const wave = order.slice(next, next + WAVE_SIZE).map(seed => this.askSeed(seed, enough));
            calls.push(...wave);
            const settled = new AbortController();
            void Promise.all(wave).then(() => settled.abort());
            await clock.sleep(WAVE_INTERVAL_MS, AbortSignal.any([stop, enough.signal, settled.signal]));
        }
        await Promise.race([Promise.all(calls), aborted(enough.signal)]);
    }

    private async askSeed(seed: string, enough: AbortController): Promise<void> {
        if (await this.ask(() => this.options.peers.fetch(seed, []))) {
            this.answeredSeeds++;
        }
        if (this.answeredSeeds >= WAVE_SIZE) {
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

function aborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
}
