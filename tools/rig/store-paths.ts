/** Paths of the machines to the store, kept by a process of their own. */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import type * as proxies from "../../stand-ins/platform/channel-proxy.js";

const PROGRAM = path.join(import.meta.dirname, "proxy-process.ts");

/** `silence` and `refuse` return the number of connections concerned. */
export type PathCommand = "silence" | "cut" | "heal" | "refuse" | "accept";

export type PathMessage =
    & { readonly id: number; }
    & (
        | { readonly kind: "open"; readonly paths: readonly proxies.ProxyOptions[]; }
        | {
            readonly kind: "command";
            readonly command: PathCommand;
            readonly hosts: readonly string[];
            readonly pattern: string | undefined;
        }
    );

export interface PathReply {
    readonly id: number;
    readonly count: number;
}

type PathRequest = PathMessage extends infer Message ? Message extends unknown ? Omit<Message, "id"> : never : never;

export class StorePaths implements AsyncDisposable {
    private count = 0;
    private readonly pending = new Map<number, (count: number) => void>();
    private isStopping = false;

    private constructor(private readonly child: childProcess.ChildProcess) {
        child.on("message", ({ id, count }: PathReply) => {
            this.pending.get(id)?.(count);
            this.pending.delete(id);
        });
        child.once("exit", status => {
            if (!this.isStopping) {
                throw new Error(`the process of the paths to the store ended with status ${status}`);
            }
        });
    }

    static async start(paths: readonly proxies.ProxyOptions[]): Promise<StorePaths> {
        const started = new StorePaths(childProcess.fork(PROGRAM, [], { execArgv: ["--import", "tsx"] }));
        await started.send({ kind: "open", paths });
        return started;
    }

    command(command: PathCommand, hosts: readonly string[], pattern?: string): Promise<number> {
        return this.send({ kind: "command", command, hosts, pattern });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.isStopping = true;
        const exited = new Promise(resolve => this.child.once("exit", resolve));
        this.child.disconnect();
        await exited;
    }

    private send(message: PathRequest): Promise<number> {
        const id = ++this.count;
        return new Promise(resolve => {
            this.pending.set(id, resolve);
            this.child.send({ ...message, id });
        });
    }
}
