/** Measures how much the machine starves the rig and the processes that it plays. */
import * as fs from "node:fs";
import * as os from "node:os";
import type * as deployments from "./deployment.js";

const INTERVAL_MS = 1000;
const LAG_PROBE_MS = 20;
const NS_PER_MS = 1_000_000;

export interface Sample {
    readonly at: number;
    readonly loadAverage: number;
    /** Longest time in milliseconds by which a timer of the rig was late in the interval. */
    readonly rigLagMs: number;
    /** Longest and mean time in milliseconds of the interval that a process was ready to run and did not. */
    readonly longestWaitMs: number;
    readonly meanWaitMs: number;
    /** Processor time in milliseconds of all processes in the interval. */
    readonly processorMs: number;
    readonly residentMb: number;
}

interface Usage {
    readonly pid: number;
    readonly ranMs: number;
    readonly waitedMs: number;
}

export class StarvationMeter implements AsyncDisposable {
    readonly samples: Sample[] = [];
    private previous = new Map<string, Usage>();
    private rigLagMs = 0;
    private readonly timers: readonly NodeJS.Timeout[];

    constructor(private readonly machines: () => readonly deployments.Machine[]) {
        let expectedAt = performance.now() + LAG_PROBE_MS;
        const probe = setInterval(() => {
            const now = performance.now();
            this.rigLagMs = Math.max(this.rigLagMs, now - expectedAt);
            expectedAt = now + LAG_PROBE_MS;
        }, LAG_PROBE_MS);
        this.timers = [probe, setInterval(() => this.sample(), INTERVAL_MS)];
    }

    [Symbol.asyncDispose](): Promise<void> {
        this.timers.forEach(timer => clearInterval(timer));
        return Promise.resolve();
    }

    private sample(): void {
        const waits: number[] = [];
        let processorMs = 0;
        let residentMb = 0;
        const usages = new Map<string, Usage>();
        for (const { name, child } of this.machines()) {
            const usage = child?.pid === undefined ? undefined : readUsage(child.pid);
            if (usage === undefined) {
                continue;
            }
            usages.set(name, usage);
            residentMb += readResidentMb(usage.pid);
            const before = this.previous.get(name);
            if (before?.pid === usage.pid) {
                waits.push(usage.waitedMs - before.waitedMs);
                processorMs += usage.ranMs - before.ranMs;
            }
        }
        this.previous = usages;
        this.samples.push({
            at: performance.now(),
            loadAverage: os.loadavg()[0]!,
            rigLagMs: this.rigLagMs,
            longestWaitMs: Math.max(0, ...waits),
            meanWaitMs: waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length),
            processorMs,
            residentMb,
        });
        this.rigLagMs = 0;
    }
}

/** Times of the main thread; undefined when the process has ended. */
function readUsage(pid: number): Usage | undefined {
    try {
        const [ran, waited] = fs.readFileSync(`/proc/${pid}/schedstat`, "utf8").split(" ").map(Number);
        return { pid, ranMs: ran! / NS_PER_MS, waitedMs: waited! / NS_PER_MS };
    }
    catch {
        return undefined;
    }
}

function readResidentMb(pid: number): number {
    try {
        const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
        return pages * 4096 / 2 ** 20;
    }
    catch {
        return 0;
    }
}
