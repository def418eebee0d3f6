/** Heavy loads, played by a process of their own, so that they delay neither the rig nor its ordinary callers. */
import * as childProcess from "node:child_process";
import * as path from "node:path";

const PROGRAM = path.join(import.meta.dirname, "load-process.ts");

export interface Target {
    readonly host: string;
    readonly port: number;
}

export type LoadKind =
    | "uploads"
    | "fragmented-uploads"
    | "troubled-answers"
    | "stopped-uploads"
    | "open-heads"
    | "unread-answers"
    | "slow-streams"
    | "idle-connections"
    | "datagrams"
    | "repeats";

/** A load on each of the targets at once. */
export interface Load {
    readonly kind: LoadKind;
    readonly targets: readonly Target[];
    /** Connections, or datagrams a second, for each target. */
    readonly count: number;
    /** Time in milliseconds after which what is still open is given up. */
    readonly durationMs: number;
    readonly host: string;
    readonly path: string;
    /** Undefined for calls without a key. */
    readonly key: string | undefined;
    /** Bytes of a body, a head or a datagram. */
    readonly bytes: number;
    /** Bodies have no declared length. */
    readonly isChunked: boolean;
}

/** What came of a load: number of answers by status, and of connections that ended without one. */
export interface LoadResult {
    readonly statuses: Readonly<Record<string, number>>;
    readonly failedCount: number;
    /** Connections that ended with a complete 200. */
    readonly wholeCount: number;
}

export interface LoadMessage {
    readonly id: number;
    readonly load: Load;
}

export interface LoadReply {
    readonly id: number;
    readonly result: LoadResult;
}

export class LoadProcess implements AsyncDisposable {
    private count = 0;
    private readonly pending = new Map<number, (result: LoadResult) => void>();
    private isStopping = false;
    private readonly child: childProcess.ChildProcess;

    constructor() {
        this.child = childProcess.fork(PROGRAM, [], { execArgv: ["--import", "tsx"] });
        this.child.on("message", ({ id, result }: LoadReply) => {
            this.pending.get(id)?.(result);
            this.pending.delete(id);
        });
        this.child.once("exit", status => {
            if (!this.isStopping) {
                throw new Error(`the process of the heavy loads ended with status ${status}`);
            }
        });
    }

    play(load: Load): Promise<LoadResult> {
        const id = ++this.count;
        return new Promise(resolve => {
            this.pending.set(id, resolve);
            this.child.send({ id, load } satisfies LoadMessage);
        });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        const exited = new Promise(resolve => this.child.once("exit", resolve));
        this.child.disconnect();
        await exited;
    }
}
