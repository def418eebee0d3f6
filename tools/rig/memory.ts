/** Samples memory and descriptors of the processes from outside, and tells which of them exceed their limits. */
import * as fs from "node:fs";
import type * as deployments from "./deployment.js";

const INTERVAL_MS = 200;
/** Number of samples of which one reads the unread bytes of all connections. */
const SAMPLES_PER_UNREAD = 5;
/** Time in milliseconds after which a process is recorded, and growth in megabytes of its peak that is recorded at once. */
const RECORD_INTERVAL_MS = 1000;
const RECORD_GROWTH_MB = 4;
const KB_PER_MB = 1024;
const BYTES_PER_MB = 1024 * 1024;
const CONNECTIONS_FILE = "/proc/net/tcp";
/** State of a listening socket in that file. Its queue counts connections. */
const LISTENING_STATE = "0A";

/** Size of a process at a moment; sizes are in megabytes. */
export interface MemorySample {
    readonly at: number;
    readonly machine: string;
    readonly role: deployments.Role;
    readonly life: number;
    readonly residentMb: number;
    /** Highest resident memory in this life so far. */
    readonly peakMb: number;
    /** Bytes that the kernel holds for the process on connections to its addresses, as last read. */
    readonly unreadMb: number;
    readonly descriptors: number;
}

export type LimitName = "memory" | "descriptors";

/** A process that exceeded a limit; the platform ends such a process. */
export interface Excess {
    readonly at: number;
    readonly machine: string;
    readonly life: number;
    readonly limitName: LimitName;
    readonly size: number;
    readonly limit: number;
    /** Parts of the memory in megabytes. */
    readonly residentMb: number;
    readonly unreadMb: number;
}

/** Highest share of the limit that a process has reached. */
export interface Peak {
    readonly machine: string;
    readonly role: deployments.Role;
    readonly limitName: LimitName;
    readonly size: number;
    readonly limit: number;
}

/** The limits that a sample exceeds. */
export function excessesOf(
    sample: MemorySample,
    { memoryMb, maxFds }: deployments.Machine["limits"],
): readonly Excess[] {
    const { at, machine, life, residentMb, unreadMb } = sample;
    return ([
        ["memory", sizeOf(sample), memoryMb],
        ["descriptors", sample.descriptors, maxFds],
    ] as const)
        .filter(([, size, limit]) => size > limit)
        .map(([limitName, size, limit]) => ({ at, machine, life, limitName, size, limit, residentMb, unreadMb }));
}

/** Memory in megabytes that counts: the peak, or what is resident and unread now. */
function sizeOf({ peakMb, residentMb, unreadMb }: MemorySample): number {
    return Math.max(peakMb, residentMb + unreadMb);
}

/** A process that exceeds a limit is told to `onExcess` once in its life. */
export class MemorySampler implements AsyncDisposable {
    readonly samples: MemorySample[] = [];
    readonly excesses: Excess[] = [];
    private readonly highest = new Map<string, Peak>();
    private readonly recorded = new Map<string, MemorySample>();
    private unreadMb: ReadonlyMap<string, number> = new Map();
    private count = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(
        private readonly machines: () => readonly deployments.Machine[],
        /** Port of the connections to an agent's address that belong to its worker. */
        private readonly workerPort: number,
        private readonly onExcess: (machine: deployments.Machine) => void,
    ) {
        this.timer = setInterval(() => this.sample(performance.now()), INTERVAL_MS);
    }

    get peaks(): readonly Peak[] {
        return [...this.highest.values()];
    }

    [Symbol.asyncDispose](): Promise<void> {
        clearInterval(this.timer);
        return Promise.resolve();
    }

    private sample(now: number): void {
        if (this.count++ % SAMPLES_PER_UNREAD === 0) {
            this.unreadMb = readUnreadMb(this.workerPort);
        }
        for (const machine of this.machines()) {
            const pid = machine.child?.pid;
            const size = pid === undefined ? undefined : readSize(pid);
            if (size === undefined) {
                continue;
            }
            const { name, role, life, ip } = machine;
            const sample = { at: now, machine: name, role, life, ...size, unreadMb: this.unreadMb.get(ip) ?? 0 };
            this.record(sample);
            this.weigh(sample, machine);
        }
    }

    private weigh(sample: MemorySample, machine: deployments.Machine): void {
        this.raise(sample, "memory", sizeOf(sample), machine.limits.memoryMb);
        this.raise(sample, "descriptors", sample.descriptors, machine.limits.maxFds);
        const isKnown = this.excesses.some(({ machine: name, life }) =>
            name === sample.machine && life === sample.life
        );
        const excesses = isKnown ? [] : excessesOf(sample, machine.limits);
        if (excesses.length > 0) {
            this.excesses.push(...excesses);
            this.onExcess(machine);
        }
    }

    private raise({ machine, role }: MemorySample, limitName: LimitName, size: number, limit: number): void {
        const key = `${machine} ${limitName}`;
        if (size > (this.highest.get(key)?.size ?? 0)) {
            this.highest.set(key, { machine, role, limitName, size, limit });
        }
    }

    private record(sample: MemorySample): void {
        const last = this.recorded.get(sample.machine);
        const isNews = last === undefined || last.life !== sample.life || sample.at - last.at >= RECORD_INTERVAL_MS
            || sample.peakMb - last.peakMb >= RECORD_GROWTH_MB;
        if (isNews) {
            this.recorded.set(sample.machine, sample);
            this.samples.push(sample);
        }
    }
}

type Size = Pick<MemorySample, "residentMb" | "peakMb" | "descriptors">;

/** Undefined when the process has ended. */
function readSize(pid: number): Size | undefined {
    try {
        const status = fs.readFileSync(`/proc/${pid}/status`, "latin1");
        const megabytes = (field: string) => Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) / KB_PER_MB;
        const peakMb = megabytes("VmHWM");
        const descriptors = fs.statSync(`/proc/${pid}/fd`).size || fs.readdirSync(`/proc/${pid}/fd`).length;
        // A process that is ending has no memory any more.
        return Number.isNaN(peakMb) ? undefined : { residentMb: megabytes("VmRSS"), peakMb, descriptors };
    }
    catch {
        return undefined;
    }
}

/** Unread megabytes by the local IP address of the connections. */
function readUnreadMb(workerPort: number): ReadonlyMap<string, number> {
    const unread = new Map<string, number>();
    for (const line of fs.readFileSync(CONNECTIONS_FILE, "latin1").split("\n").slice(1)) {
        const [, local, , state, queues] = line.trim().split(/\s+/);
        const bytes = Number.parseInt(queues?.split(":")[1] ?? "0", 16);
        if (local === undefined || bytes === 0 || state === LISTENING_STATE) {
            continue;
        }
        const [address, port] = local.split(":") as [string, string];
        if (Number.parseInt(port, 16) !== workerPort) {
            const ip = (address.match(/../g) ?? []).reverse().map(byte => Number.parseInt(byte, 16)).join(".");
            unread.set(ip, (unread.get(ip) ?? 0) + bytes / BYTES_PER_MB);
        }
    }
    return unread;
}
