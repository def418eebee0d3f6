/** Finds the route of an HTTP service by method and path. */
import type * as manifest from "../manifest/types.js";

const WILDCARD = "/*";

/** Exact paths take precedence over wildcards, and longer wildcards over shorter ones. */
export function findRoute(
    routes: readonly manifest.Route[],
    method: string,
    path: string,
): manifest.Route | undefined {
    const matching = routes.filter(route => route.methods.includes(method) && matches(route.path, path));
    return [...matching].sort((left, right) => specificity(right.path) - specificity(left.path))[0];
}

function matches(pattern: string, path: string): boolean {
    return pattern.endsWith(WILDCARD)
        ? path.startsWith(pattern.slice(0, -WILDCARD.length + 1))
        : path === pattern;
}

function specificity(pattern: string): number {
    return pattern.endsWith(WILDCARD) ? pattern.length : Number.MAX_SAFE_INTEGER;
}
