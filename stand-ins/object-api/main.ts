/** Runs the object API stand-in as a process. */
import * as standIns from "../process.js";
import * as objectApi from "./object-api.js";

await standIns.run("object-api", objectApi.createObjectApi);
