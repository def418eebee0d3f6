/** Runs the KV cache store stand-in as a process: prints its address when it is ready and exits on SIGTERM. */
import * as util from "node:util";
import * as kvStores from "./kv-store.js";

const { values } = util.parseArgs({ options: { "port": { type: "string", default: "0" } } });
const store = await kvStores.createKvStore({ port: Number(values.port) });
console.log(`KV cache store ready on ${store.url}`);
process.once("SIGTERM", () => void store[Symbol.asyncDispose]().then(() => process.exit(0)));
