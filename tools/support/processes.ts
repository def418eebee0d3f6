/** Starts the processes of a demo or a test on loopback and ends exactly those. */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as process from "node:process";

const ROOT = path.resolve(import.meta.dirname, "../..");
/** Programs run from source when this module does, for tests, and compiled otherwise. */
const FROM_SOURCE = import.meta.filename.endsWith(".ts");
/** The daemon; its compiled form is a bundle. */
export const DAEMON = FROM_SOURCE ? "src/daemon/main" : "bin/ibisstepd";
const EXIT_WAIT_MS = 5000;
const RECENT_LINES = 40;

export interface Launched extends AsyncDisposable {
    readonly name: string;
    readonly pid: number;
    /** Last lines of standard output and standard error. */
    readonly output: () => readonly string[];
    /** Resolves with the exit status or the signal when the process has ended. */
    readonly exited: Promise<number | string>;
    signal(name: NodeJS.Signals): void;
}

/** Starts a program; `program` is its path below the root without the extension. The environment is added to. */
export function launch(
    name: string,
    program: string,
    parameters: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Launched {
    const file = path.join(ROOT, `${program}${FROM_SOURCE ? ".ts" : ".js"}`);
    const loader = FROM_SOURCE ? ["--import", "tsx"] : [];
    const child = childProcess.spawn(process.execPath, [...loader, file, ...parameters], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...environment },
    });
    const lines: string[] = [];
    const collect = (data: Buffer) => {
        lines.push(...data.toString("utf8").split("\n").filter(line => line !== ""));
        lines.splice(0, Math.max(0, lines.length - RECENT_LINES));
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    const exited = new Promise<number | string>(resolve => {
        child.once("exit", (status, signal) => resolve(status ?? signal ?? "unknown"));
    });
    const signal = (signalName: NodeJS.Signals) => void child.kill(signalName);
    return {
        name,
        pid: child.pid ?? 0,
        output: () => lines,
        exited,
        signal,
        [Symbol.asyncDispose]: async () => {
            signal("SIGTERM");
            const timer = setTimeout(() => signal("SIGKILL"), EXIT_WAIT_MS);
            await exited;
            clearTimeout(timer);
        },
    };
}

/** Polls until the condition holds. Rejects after `timeoutMs` milliseconds. */
export async function waitUntil(what: string, timeoutMs: number, condition: () => Promise<boolean>): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (!await condition().catch(() => false)) {
        if (performance.now() > end) {
            throw new Error(`${what} did not happen within ${timeoutMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}
