/** The heavy loads of a run: plays them, and keeps when and where each was at work. */
import type * as addressing from "./addresses.js";
import * as configurations from "./configurations.js";
import type * as deployments from "./deployment.js";
import * as loads from "./loads.js";

export interface HeavyWork {
    readonly name: string;
    readonly machines: ReadonlySet<string>;
    /** It comes over the port of the callers. */
    readonly isAtFront: boolean;
    readonly from: number;
    /** Infinite while it lasts. */
    until: number;
    /** Answers of workers in trouble that callers got as complete ones. */
    wholeAnswers: number;
}

export type Port = "front" | "ready" | "internal" | "metrics";

export interface LoadOptions extends Partial<Pick<loads.Load, "path" | "key" | "bytes" | "isChunked">> {
    readonly name: string;
    readonly kind: loads.LoadKind;
    readonly port?: Port;
    readonly count: number;
    readonly durationMs: number;
}

export class HeavyWorks implements AsyncDisposable {
    readonly all: HeavyWork[] = [];
    private readonly process = new loads.LoadProcess();

    constructor(
        private readonly addresses: addressing.Addresses,
        private readonly note: (text: string) => void,
    ) {}

    async [Symbol.asyncDispose](): Promise<void> {
        await this.process[Symbol.asyncDispose]();
    }

    /** Plays a load on each of the machines; resolves when it is over. */
    async play(machines: readonly deployments.Machine[], options: LoadOptions): Promise<void> {
        const { name, kind, port = "front", count, durationMs, bytes = 0, isChunked = false, key } = options;
        const { path = "/book/" } = options;
        const work = this.begin(name, machines, port === "front");
        const targets = machines.map(({ ip }) => ({ host: ip, port: this.portNumber(port) }));
        const detail = `${count} of ${bytes} bytes${isChunked ? ", chunked" : ""}, ${key ?? "no key"}, ${port} ${path}`;
        this.note(`heavy load ${name} on ${[...work.machines].join(" ")}: ${detail}`);
        const load = { kind, targets, count, durationMs, host: configurations.HOST, path, key, bytes, isChunked };
        const { statuses, failedCount, wholeCount } = await this.process.play(load);
        work.until = performance.now();
        work.wholeAnswers = kind === "troubled-answers" ? wholeCount : 0;
        this.note(`heavy load ${name} is over: ${JSON.stringify(statuses)}, ${failedCount} without a status`);
    }

    /** Keeps work that the rig plays itself; the caller sets its end. */
    begin(name: string, machines: readonly deployments.Machine[], isAtFront: boolean): HeavyWork {
        const names = new Set(machines.map(machine => machine.name));
        const from = performance.now();
        const work = { name, machines: names, isAtFront, from, until: Number.POSITIVE_INFINITY, wholeAnswers: 0 };
        this.all.push(work);
        return work;
    }

    private portNumber(port: Port): number {
        const { front, ready, internal } = this.addresses;
        return { front, ready, internal, metrics: internal + 1 }[port];
    }
}
