/** Writes docs/events.md and docs/errors.md; run by `npm run docs`. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as events from "../../src/catalogue/events.js";
import * as failures from "../../src/catalogue/failures.js";
import * as render from "./render.js";

const DOCS = path.resolve(import.meta.dirname, "../../docs");

fs.writeFileSync(path.join(DOCS, "events.md"), render.renderEvents(events.events));
fs.writeFileSync(path.join(DOCS, "errors.md"), render.renderFailures(failures.failures));
