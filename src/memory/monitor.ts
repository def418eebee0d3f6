/** Compares what a process has reserved with what the operating system counts, and narrows the budget near the limit. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as budgets from "./budget.js";
import type * as collectors from "./collector.js";
import type * as types from "./types.js";

/** Interval in milliseconds between samples while little is reserved, and while much is. */
const IDLE_SAMPLE_MS = 2000;
const BUSY_SAMPLE_MS = 250;
/** Share of the capacity from which much is reserved. */
const BUSY_SHARE = 0.2;
/** Share of the limit up to which the process may grow; the rest is for what arrives between two samples. */
const TARGET_SHARE = 0.85;
/** Shares of the limit at which a line is logged, once on the way up and once after the process has been below again. */
const WARNING_SHARES = [0.6, 0.75, 0.9] as const;
/** A level counts as left at this share of it, so that a process that hovers around it logs one line. */
const REARM_SHARE = 0.9;

export interface MonitorPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly budget: budgets.MemoryBudget;
    readonly collector: Pick<collectors.Collector, "collections">;
    /** Memory limit of the process in bytes; undefined for none. */
    readonly limitBytes: number | undefined;
    readonly measure: () => types.ProcessMemory;
}

export class MemoryMonitor implements Disposable {
    private timer: NodeJS.Timeout | undefined;
    private latest: types.ProcessMemory | undefined;
    private peakResidentBytes = 0;
    /** Number of the warning shares that the process has passed. */
    private level = 0;

    constructor(private readonly ports: MonitorPorts) {}

    start(): void {
        this.sample();
        this.schedule();
    }

    [Symbol.dispose](): void {
        clearTimeout(this.timer);
    }

    /** Measures the process and adjusts the budget. */
    sample(): void {
        const { budget, limitBytes } = this.ports;
        const memory = this.ports.measure();
        this.latest = memory;
        this.peakResidentBytes = Math.max(this.peakResidentBytes, memory.residentBytes);
        if (limitBytes === undefined) {
            return;
        }
        budget.limitGrowth(limitBytes * TARGET_SHARE - memory.residentBytes);
        this.logLevel(memory, limitBytes);
    }

    /** Renders the memory of the process in the Prometheus text format. */
    render(): string {
        const { budget, collector, limitBytes } = this.ports;
        const memory = this.latest ?? this.ports.measure();
        const series: readonly (readonly [name: string, value: number])[] = [
            ["ibisstep_memory_resident_bytes", memory.residentBytes],
            ["ibisstep_memory_resident_peak_bytes", this.peakResidentBytes],
            ["ibisstep_memory_heap_bytes", memory.heapBytes],
            ["ibisstep_memory_external_bytes", memory.externalBytes],
            ["ibisstep_memory_limit_bytes", limitBytes ?? 0],
            ["ibisstep_memory_available_bytes", Number.isFinite(budget.availableBytes) ? budget.availableBytes : 0],
            ["ibisstep_memory_reserved_peak_bytes", budget.peakBytes],
            ...Object.entries(budget.usage).map(([purpose, bytes]) => {
                return [`ibisstep_memory_reserved_bytes{purpose="${purpose}"}`, bytes] as const;
            }),
            ...Object.entries(budget.refusals).map(([purpose, count]) => {
                return [`ibisstep_memory_refusals_total{purpose="${purpose}"}`, count] as const;
            }),
            ...Object.entries(collector.collections).map(([collection, count]) => {
                return [`ibisstep_memory_collections_total{collection="${collection}"}`, count] as const;
            }),
        ];
        return series.map(([name, value]) => `${name} ${Math.round(value)}\n`).join("");
    }

    private schedule(): void {
        const { budget } = this.ports;
        const isBusy = budget.heldBytes > budget.capacityBytes * BUSY_SHARE || this.level > 0;
        this.timer = setTimeout(() => {
            this.sample();
            this.schedule();
        }, isBusy ? BUSY_SAMPLE_MS : IDLE_SAMPLE_MS);
        this.timer.unref();
    }

    private logLevel(memory: types.ProcessMemory, limitBytes: number): void {
        const { budget, journal } = this.ports;
        const isPast = (share: number, index: number) => {
            return memory.residentBytes >= limitBytes * share * (index < this.level ? REARM_SHARE : 1);
        };
        const level = WARNING_SHARES.filter(isPast).length;
        if (level > this.level) {
            journal.emit("memory-high", {
                residentBytes: memory.residentBytes,
                limitBytes,
                heapBytes: memory.heapBytes,
                externalBytes: memory.externalBytes,
                reservedBytes: Math.round(budget.heldBytes),
                availableBytes: Math.round(budget.availableBytes),
                ...budget.usage,
            });
        }
        else if (level < this.level) {
            journal.emit("memory-recovered", { residentBytes: memory.residentBytes, limitBytes });
        }
        this.level = level;
    }
}

/** Memory of this process. */
export function measureProcess(): types.ProcessMemory {
    const { rss, heapUsed, external } = process.memoryUsage();
    return { residentBytes: rss, heapBytes: heapUsed, externalBytes: external };
}

/** Bytes of the buffers of this process, with those that are released but not collected. */
export function measureBuffers(): number {
    return process.memoryUsage().arrayBuffers;
}
