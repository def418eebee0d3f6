/** Runs the engine stand-in as a process: prints its address when it is ready and exits on SIGTERM. */
import * as util from "node:util";
import * as engines from "./engine.js";

const CRASH_STATUS = 70;

const { values } = util.parseArgs({
    options: {
        "port": { type: "string", default: "0" },
        "settings": { type: "string", default: "{}" },
    },
});
const engine = await engines.createEngine({
    port: Number(values.port),
    settings: JSON.parse(values.settings),
    onCrash: () => process.exit(CRASH_STATUS),
});
console.log(`engine ready on ${engine.address}`);
process.once("SIGTERM", () => void engine[Symbol.asyncDispose]().then(() => process.exit(0)));
