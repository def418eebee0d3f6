/** Runs the weight store stand-in as a process: prints its address when it is ready and exits on SIGTERM. */
import * as util from "node:util";
import * as weightStores from "./weight-store.js";

const { values } = util.parseArgs({
    options: { "port": { type: "string", default: "0" }, "parallel-loads": { type: "string", default: "2" } },
});
const store = await weightStores.createWeightStore({
    port: Number(values.port),
    parallelLoads: Number(values["parallel-loads"]),
});
console.log(`weight store ready on ${store.url}`);
process.once("SIGTERM", () => void store[Symbol.asyncDispose]().then(() => process.exit(0)));
