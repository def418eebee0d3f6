/**
 * Measures the slopes of `docs/CAPACITY.md`: the cost of one more member, customer, block, event or request.
 *
 * Needs `--expose-gc`. With `--write` the results are also written to `docs/capacity.json`.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as control from "./control.js";
import * as dataPath from "./data-path.js";

const OUTPUT = "docs/capacity.json";

async function main(): Promise<void> {
    const loadBefore = os.loadavg()[0];
    const slopes = [...await control.slopes(), ...await dataPath.slopes()];
    const result = {
        node: process.version,
        processors: os.cpus().length,
        loadAverage: { before: loadBefore, after: os.loadavg()[0] },
        slopes,
    };
    const text = JSON.stringify(result, undefined, 4);
    console.log(text);
    if (process.argv.includes("--write")) {
        await fs.writeFile(OUTPUT, `${text}\n`);
    }
}

await main();
