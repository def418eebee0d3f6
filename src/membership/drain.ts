/** Graceful shutdown: announces it, takes no new work and waits for the requests in flight. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";

/**
 * Shortest time between the announcement and the end, in milliseconds. Peers that have not heard of it yet get a
 * refusal that says `not-run` instead of a refused connection.
 */
const ANNOUNCEMENT_MS = 1000;

export interface DrainOptions {
    readonly board: boards.Board;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Longest wait for requests in flight, in milliseconds. */
    readonly limitMs: number;
    /**
     * Time in milliseconds for which new requests are still accepted after the drain has begun. An entry needs it,
     * because the load balancer sends requests until it has noticed that the process is not ready; default 0.
     */
    readonly acceptMs?: number;
}

export interface DrainReport {
    /** Requests that were still in flight at the limit. */
    readonly interrupted: number;
}

export class Drain {
    private inFlightCount = 0;
    private begun = false;
    private closed = false;
    private readonly idle = new Set<() => void>();
    private resolveReport: (report: DrainReport) => void = () => undefined;

    /** Resolves when the drain has begun and ended. */
    readonly finished: Promise<DrainReport> = new Promise(resolve => {
        this.resolveReport = resolve;
    });

    constructor(private readonly options: DrainOptions) {}

    /** Number of requests in flight. */
    get inFlight(): number {
        return this.inFlightCount;
    }

    /** Counts a request until the result is disposed. Fails with `draining` once no new request is accepted. */
    enter(): outcomes.Outcome<Disposable> {
        if (this.closed) {
            return outcomes.fail("draining", "shutting down");
        }
        this.inFlightCount++;
        let entered = true;
        return outcomes.succeed({
            [Symbol.dispose]: () => {
                if (entered) {
                    entered = false;
                    this.leave();
                }
            },
        });
    }

    /** Begins the drain. `reason` goes to the log. Returns false when it had begun before. */
    begin(reason: string): boolean {
        if (this.begun) {
            return false;
        }
        this.begun = true;
        this.closed = (this.options.acceptMs ?? 0) <= 0;
        this.options.journal.emit("drain-started", { reason, inFlight: this.inFlightCount });
        this.options.board.write("draining", true);
        void this.run().then(report => this.resolveReport(report));
        return true;
    }

    private async run(): Promise<DrainReport> {
        const { clock, limitMs, journal, acceptMs = 0 } = this.options;
        const startedAt = clock.now();
        const announcementMs = Math.max(ANNOUNCEMENT_MS, acceptMs);
        await clock.sleep(announcementMs);
        this.closed = true;
        const stop = new AbortController();
        await Promise.race([this.whenIdle(), clock.sleep(Math.max(0, limitMs - announcementMs), stop.signal)]);
        stop.abort();
        const interrupted = this.inFlightCount;
        const durationMs = Math.round(clock.now() - startedAt);
        journal.emit(interrupted === 0 ? "drain-finished" : "drain-interrupted", { interrupted, durationMs });
        return { interrupted };
    }

    private whenIdle(): Promise<void> {
        return new Promise(resolve => {
            if (this.inFlightCount === 0) {
                resolve();
                return;
            }
            this.idle.add(resolve);
        });
    }

    private leave(): void {
        this.inFlightCount--;
        if (this.inFlightCount === 0) {
            this.idle.forEach(resolve => resolve());
            this.idle.clear();
        }
    }
}

/** Signals that begin a graceful shutdown. */
const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Begins the drain on a termination signal, until the result is disposed. */
export function drainOnSignal(drain: Drain, process: NodeJS.EventEmitter): Disposable {
    const listeners = SIGNALS.map(signal => ({ signal, listener: () => void drain.begin(signal) }));
    listeners.forEach(({ signal, listener }) => process.on(signal, listener));
    return {
        [Symbol.dispose]: () => listeners.forEach(({ signal, listener }) => process.off(signal, listener)),
    };
}
