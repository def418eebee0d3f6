/** Memory of one process: its budget, and the monitor that compares it with the limit. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as budgets from "./budget.js";
import * as capacities from "./capacity.js";
import * as collectors from "./collector.js";
import * as monitors from "./monitor.js";
import * as readMemory from "./read-memory.js";

export interface ProcessMemoryPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Memory in bytes above which the process is ended; undefined for no limit. */
    readonly limitBytes: number | undefined;
}

export class ProcessMemory implements Disposable {
    readonly budget: budgets.MemoryBudget;
    /** Memory for the answers that the process reads from the store, its peers and backend servers. */
    readonly reads: readMemory.ReadMemory;
    private readonly monitor: monitors.MemoryMonitor;

    constructor(ports: ProcessMemoryPorts) {
        const capacityBytes = capacities.capacityOf(ports.limitBytes);
        const collector = new collectors.Collector(capacityBytes, {
            measureBuffers: monitors.measureBuffers,
            collect: collectors.collectorOfRuntime(),
        });
        this.budget = new budgets.MemoryBudget(capacityBytes, collector);
        this.reads = new readMemory.ReadMemory(this.budget);
        this.monitor = new monitors.MemoryMonitor({
            ...ports,
            budget: this.budget,
            collector,
            measure: monitors.measureProcess,
        });
    }

    /** Begins to compare the process with its limit. */
    start(): void {
        this.monitor.start();
    }

    /** Renders the memory of the process in the Prometheus text format. */
    renderMetrics(): string {
        return this.monitor.render();
    }

    [Symbol.dispose](): void {
        this.monitor[Symbol.dispose]();
        this.budget[Symbol.dispose]();
    }
}
