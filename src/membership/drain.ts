/** Graceful shutdown: announces that the process drains, accepts no new work and waits for the requests in flight. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";

/**
 * Shortest time in milliseconds from the announcement of the drain to its end. Peers that do not know of the drain yet
 * get a failure with the execution `not-run` instead of a refused connection.
 */
const MINIMUM_ANNOUNCEMENT_MS = 1000;

export interface DrainOptions {
    readonly board: boards.Board;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Longest wait for requests in flight, in milliseconds. */
    readonly limitMs: number;
    /**
     * Time in milliseconds for which new requests are still accepted after the drain has begun; default 0. An entry
     * needs it because the load balancer sends requests until a readiness check fails.
     */
    readonly acceptMs?: number;
}

export interface DrainReport {
    /** Requests still in flight when the drain timed out. */
    readonly interrupted: number;
}

export class Drain {
    private inFlightCount = 0;
    private hasBegun = false;
    private closed = false;
    private readonly idleListeners = new Set<() => void>();
    private resolveReport: (report: DrainReport) => void = () => undefined;

    /** Resolves when the drain has ended; pending while none has begun. */
    readonly finished: Promise<DrainReport> = new Promise(resolve => {
        this.resolveReport = resolve;
    });

    constructor(private readonly options: DrainOptions) {}

    /** Number of requests in flight. */
    get inFlight(): number {
        return this.inFlightCount;
    }

    /** Counts a request as in flight until the result is disposed. Fails with `draining` once none is accepted. */
    enter(): outcomes.Outcome<Disposable> {
        if (this.closed) {
            return outcomes.fail("draining", "shutting down");
        }
        this.inFlightCount++;
        let isCounted = true;
        return outcomes.succeed({
            [Symbol.dispose]: () => {
                if (isCounted) {
                    isCounted = false;
                    this.leave();
                }
            },
        });
    }

    /** Begins the drain. `reason` is logged. Returns false if the drain had already begun. */
    begin(reason: string): boolean {
        if (this.hasBegun) {
            return false;
        }
        this.hasBegun = true;
        this.closed = (this.options.acceptMs ?? 0) <= 0;
        this.options.journal.emit("drain-started", { reason, inFlight: this.inFlightCount });
        this.options.board.write("draining", true);
        void this.run().then(report => this.resolveReport(report));
        return true;
    }

    private async run(): Promise<DrainReport> {
        const { clock, limitMs, journal, acceptMs = 0 } = this.options;
        const startedAt = clock.now();
        const announcementMs = Math.max(MINIMUM_ANNOUNCEMENT_MS, acceptMs);
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
            this.idleListeners.add(resolve);
        });
    }

    private leave(): void {
        this.inFlightCount--;
        if (this.inFlightCount === 0) {
            this.idleListeners.forEach(resolve => resolve());
            this.idleListeners.clear();
        }
    }
}

/** Signals that begin a graceful shutdown. */
const SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Begins the drain on a termination signal. Disposing the result removes the signal handlers. */
export function drainOnSignal(drain: Drain, process: NodeJS.EventEmitter): Disposable {
    const listeners = SIGNALS.map(signal => ({ signal, listener: () => void drain.begin(signal) }));
    listeners.forEach(({ signal, listener }) => process.on(signal, listener));
    return {
        [Symbol.dispose]: () => listeners.forEach(({ signal, listener }) => process.off(signal, listener)),
    };
}
