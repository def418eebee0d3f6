/** Runs a case: TROUBLE=0 leaves the disruption out. Exit status 0: the rule held, 1: it was broken, 2: not run. */
import * as fs from "node:fs";
import * as path from "node:path";
import { Deployment } from "./deployment.mjs";

/** Time in milliseconds after which a run is given up. */
const TIME_LIMIT_MS = 110_000;

export async function runCase(folder, body) {
    const hasTrouble = process.env.TROUBLE !== "0";
    const deployment = new Deployment();
    const lines = [];
    const startedAt = performance.now();
    /** Adds a line to the record; `at` is a time of `performance.now`. */
    const record = (text, at = performance.now()) => lines.push({ at, text });
    const end = async status => {
        await deployment.stop();
        // For the diagnosis of a run: the logs of the processes.
        if (process.env.LOGS !== undefined) {
            [...deployment.entries, ...deployment.agents].forEach(({ name, log }) => fs.writeFileSync(path.join(process.env.LOGS, `${name}.log`), log));
        }
        const sorted = lines.sort((left, right) => left.at - right.at);
        const text = sorted.map(({ at, text: line }) => `${((at - startedAt) / 1000).toFixed(3)} s  ${line}\n`).join("");
        fs.writeFileSync(path.join(folder, "record.txt"), text);
        process.exit(status);
    };
    setTimeout(() => {
        console.log("not run: the time is over");
        void end(2);
    }, TIME_LIMIT_MS).unref();
    try {
        const { isBroken, summary } = await body({ deployment, hasTrouble, record });
        record(summary);
        console.log(`${hasTrouble ? "with" : "without"} the disruption: ${isBroken ? "BROKEN" : "held"}; ${summary}`);
        await end(isBroken ? 1 : 0);
    }
    catch (error) {
        console.log(`not run: ${error.stack}`);
        await end(2);
    }
}
