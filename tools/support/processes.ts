/** Starts processes for the demo, the measuring tools and tests, and ends only these. */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as process from "node:process";

const ROOT = path.resolve(import.meta.dirname, "../..");
/** Whether programs are started from TypeScript source, as in tests, or from compiled files. */
const RUNS_FROM_SOURCE = import.meta.filename.endsWith(".ts");
/** Program of the daemon; its compiled form is a bundle. */
export const DAEMON_PROGRAM = RUNS_FROM_SOURCE ? "src/daemon/main" : "bin/ibisstepd";
const EXIT_TIMEOUT_MS = 5000;
const MAXIMUM_OUTPUT_LINES = 40;

export interface LaunchedProcess extends AsyncDisposable {
    readonly name: string;
    readonly pid: number;
    /** Most recent lines of standard output and standard error. */
    readonly output: () => readonly string[];
    /** Resolves with the exit status or the name of the signal when the process has ended. */
    readonly exited: Promise<number | string>;
    signal(name: NodeJS.Signals): void;
}

/**
 * Starts a program; `program` is its path below the root without the extension. `environment` is added to the
 * environment of this process.
 */
export function launch(
    name: string,
    program: string,
    parameters: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): LaunchedProcess {
    const file = path.join(ROOT, `${program}${RUNS_FROM_SOURCE ? ".ts" : ".js"}`);
    const loader = RUNS_FROM_SOURCE ? ["--import", "tsx"] : [];
    const child = childProcess.spawn(process.execPath, [...loader, file, ...parameters], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...environment },
    });
    const lines: string[] = [];
    const collect = (data: Buffer) => {
        lines.push(...data.toString("utf8").split("\n").filter(line => line !== ""));
        lines.splice(0, Math.max(0, lines.length - MAXIMUM_OUTPUT_LINES));
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
            const timer = setTimeout(() => signal("SIGKILL"), EXIT_TIMEOUT_MS);
            await exited;
            clearTimeout(timer);
        },
    };
}

/** Polls until the condition holds. Rejects after `timeoutMs` milliseconds. */
export async function waitUntil(
    description: string,
    timeoutMs: number,
    condition: () => Promise<boolean>,
): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (!await condition().catch(() => false)) {
        if (performance.now() > deadline) {
            throw new Error(`${description} did not happen within ${timeoutMs} ms`);
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}
