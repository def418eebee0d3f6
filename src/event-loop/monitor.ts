/**
 * Shows when the event loop of a process stands still, in which no timer runs and no other call is handled, and on what.
 */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as types from "./types.js";

/** Interval in milliseconds of the timer whose delay is measured. */
const INTERVAL_MS = 500;
/** Delay in milliseconds from which the event loop counts as stalled. */
const STALL_MS = 200;
/** Pieces of work whose times are kept between two samples. */
const MAXIMUM_WORKS = 1024;

export interface MonitorPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Processor time of the process in milliseconds. */
    readonly processorMs: () => number;
}

interface Share {
    readonly work: types.Work;
    busyMs: number;
    bytes: number;
}

export class LoopMonitor implements types.WorkRecorder, Disposable {
    private timer: NodeJS.Timeout | undefined;
    private readonly shares = new Map<string, Share>();
    private sampledAt = 0;
    private sampledProcessorMs = 0;
    private stalls = 0;
    private stalledTotalMs = 0;
    private longestStallMs = 0;

    constructor(private readonly ports: MonitorPorts) {}

    start(): void {
        this.reset(this.ports.clock.now());
        this.timer = setInterval(() => this.sample(this.ports.clock.now()), INTERVAL_MS);
        this.timer.unref();
    }

    [Symbol.dispose](): void {
        clearInterval(this.timer);
    }

    record(work: types.Work, elapsedMs: number, bytes: number): void {
        const key = `${work.kind} ${work.call} ${work.peer}`;
        const share = this.shares.get(key);
        if (share !== undefined) {
            share.busyMs += elapsedMs;
            share.bytes += bytes;
        }
        else if (this.shares.size < MAXIMUM_WORKS) {
            this.shares.set(key, { work, busyMs: elapsedMs, bytes });
        }
    }

    /** Compares the time since the previous sample with the interval. */
    sample(now: number): void {
        const stalledMs = now - this.sampledAt - INTERVAL_MS;
        if (stalledMs >= STALL_MS) {
            this.stalls++;
            this.stalledTotalMs += stalledMs;
            this.longestStallMs = Math.max(this.longestStallMs, stalledMs);
            this.logStall(stalledMs);
        }
        this.reset(now);
    }

    /** Renders the stalls in the Prometheus text format. */
    render(): string {
        return `ibisstep_event_loop_stalls_total ${this.stalls}\n`
            + `ibisstep_event_loop_stalled_ms_total ${Math.round(this.stalledTotalMs)}\n`
            + `ibisstep_event_loop_longest_stall_ms ${Math.round(this.longestStallMs)}\n`;
    }

    private logStall(stalledMs: number): void {
        const shares = [...this.shares.values()];
        const busiest = shares.reduce<Share | undefined>((most, share) => {
            return most === undefined || share.busyMs > most.busyMs ? share : most;
        }, undefined);
        this.ports.journal.emit("event-loop-stalled", {
            stalledMs: Math.round(stalledMs),
            processorMs: Math.round(this.ports.processorMs() - this.sampledProcessorMs),
            busyMs: Math.round(shares.reduce((total, share) => total + share.busyMs, 0)),
            work: busiest?.work.kind,
            call: busiest?.work.call,
            peer: busiest?.work.peer,
            workMs: busiest && Math.round(busiest.busyMs),
            workBytes: busiest?.bytes,
        });
    }

    private reset(now: number): void {
        this.sampledAt = now;
        this.sampledProcessorMs = this.ports.processorMs();
        this.shares.clear();
    }
}

/** Processor time of this process in milliseconds. */
export function measureProcessor(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
}
