/** Commands of `ibisstep`. The module of a command is loaded when the command is run. */
import type * as types from "./types.js";

interface CommandEntry {
    readonly summary: string;
    readonly load: () => Promise<{ readonly command: types.Command; }>;
}

export const commands: Readonly<Record<string, CommandEntry>> = {
    "validate": { summary: "check a manifest", load: () => import("./commands/validate.js") },
    "apply": { summary: "make a manifest the accepted version", load: () => import("./commands/apply.js") },
    "status": { summary: "show the state of every process", load: () => import("./commands/status.js") },
    "report": {
        summary: "show rollouts and failures that affected customers",
        load: () => import("./commands/report.js"),
    },
    "histograms": { summary: "show latencies per customer and class", load: () => import("./commands/histograms.js") },
    "key hash": { summary: "compute the hash of a key", load: () => import("./commands/key-hash.js") },
    "explain": { summary: "show what happened to a call", load: () => import("./commands/explain.js") },
    "placement": {
        summary: "show where a call would be placed now, and why",
        load: () => import("./commands/placement.js"),
    },
    "drain": { summary: "shut a process down gracefully", load: () => import("./commands/drain.js") },
};

export interface Selection {
    readonly name: string;
    /** Arguments after the name of the command. */
    readonly parameters: readonly string[];
}

/** Finds the command named by the first one or two arguments. */
export function select(parameters: readonly string[]): Selection | undefined {
    const name = [parameters.slice(0, 2), parameters.slice(0, 1)]
        .map(words => words.join(" "))
        .find(candidate => Object.hasOwn(commands, candidate));
    return name === undefined ? undefined : { name, parameters: parameters.slice(name.split(" ").length) };
}
