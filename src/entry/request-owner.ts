/** Checks the head of a request before its body is read, and names who shares the memory for it. */
import * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";
import * as authentication from "./authentication.js";
import * as routeTable from "./route-table.js";
import type * as types from "./types.js";

/** Paths that need a key and no route. */
const MODEL_API_PATHS: ReadonlySet<string> = new Set(["/v1/chat/completions", "/v1/models"]);

/** Fails with `route-unknown`, `key-missing` or `key-unknown`. */
export function ownerOf(head: types.RequestHead, configuration: manifest.Configuration): outcomes.Outcome<string> {
    const path = head.target.split("?")[0];
    const route = routeTable.findRoute(configuration.routes, head.method, path);
    const isModelApi = MODEL_API_PATHS.has(path);
    if (route === undefined && !isModelApi) {
        return outcomes.fail("route-unknown", `${head.method} ${path}`);
    }
    if (route?.open === true && !isModelApi) {
        return outcomes.succeed(`caller ${head.remoteAddress}`);
    }
    const hash = authentication.keyHashOf(head.headers.authorization);
    const principal = hash.ok ? authentication.authorize(hash.value, configuration) : hash;
    return principal.ok ? outcomes.succeed(`customer ${principal.value.customer.name}`) : principal;
}
