/** Runs of the rig that violated something once, kept so that they are played again. */
import * as fs from "node:fs";
import * as path from "node:path";

const FILE = path.resolve(import.meta.dirname, "../../test/platform/rig-cases.json");

export interface RigCase {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    readonly agents: number;
    /** Names of the faults; all when empty. */
    readonly faults: readonly string[];
    /** Names of faults that are left out. */
    readonly without?: readonly string[];
    /** Rules that were violated when the case was kept. */
    readonly violated: readonly string[];
    /** What came of it; undefined while it is open. */
    readonly outcome?: string;
}

/** The kept cases, the oldest first. */
export function read(): readonly RigCase[] {
    return JSON.parse(fs.readFileSync(FILE, "utf8")) as readonly RigCase[];
}

/** Keeps a case, unless one with the same course is kept already. */
export function keep(added: RigCase): void {
    const known = read();
    if (!known.some(entry => isSameCourse(entry, added))) {
        const lines = [...known, added].map(kept => `    ${JSON.stringify(kept)}`);
        fs.writeFileSync(FILE, `[\n${lines.join(",\n")}\n]\n`);
    }
}

function isSameCourse(left: RigCase, right: RigCase): boolean {
    const courseOf = ({ seed, seconds, entries, agents, faults, without = [] }: RigCase) => {
        return JSON.stringify({ seed, seconds, entries, agents, faults, without });
    };
    return courseOf(left) === courseOf(right);
}
