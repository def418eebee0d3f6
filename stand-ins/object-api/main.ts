/** Process of the object API stand-in. */
import * as standIns from "../process.js";
import * as objectApi from "./object-api.js";

await standIns.run("object-api", objectApi.createObjectApi);
