/** Lookup of routes by host and path, and of customers by API key. */
import * as hashing from "../core/hashing.js";
import type * as types from "./types.js";

export interface RoutingTable {
    readonly configuration: types.Configuration;
    /** Routes of a host, longest path prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly types.Route[]>;
    readonly customersByKey: ReadonlyMap<string, types.Customer>;
}

/** Builds the lookup tables of a configuration. */
export function compile(configuration: types.Configuration): RoutingTable {
    const routesByHost = new Map<string, types.Route[]>();
    for (const route of configuration.routes) {
        const routes = routesByHost.get(route.host) ?? [];
        routesByHost.set(route.host, [...routes, route]);
    }
    for (const [host, routes] of routesByHost) {
        routesByHost.set(host, routes.toSorted((left, right) => right.pathPrefix.length - left.pathPrefix.length));
    }
    const customersByKey = new Map(
        configuration.customers.flatMap(customer => customer.keys.map(key => [key, customer] as const)),
    );
    return { configuration, routesByHost, customersByKey };
}

/** Finds the route with the longest matching path prefix. Ignores a port in the host and a query in the path. */
export function findRoute(table: RoutingTable, host: string, path: string): types.Route | undefined {
    const hostname = host.split(":")[0]!.toLowerCase();
    const pathname = path.split("?")[0]!;
    return table.routesByHost.get(hostname)?.find(route => pathname.startsWith(route.pathPrefix));
}

/** Chooses a target of the route by weight and a hash of the call id; undefined when no target has any weight. */
export function chooseService(route: types.Route, callId: string): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let point = hashing.unitHash(callId) * total;
    for (const target of route.targets) {
        point -= target.weight;
        if (point < 0 && target.weight > 0) {
            return target.service;
        }
    }
    return route.targets.findLast(target => target.weight > 0)?.service;
}

/** Tokens charged against the customer's rate limit for a call. */
export function chargedTokens(customer: types.Customer, head: types.CallHead): number {
    if (customer.rateUnit === "calls") {
        return 1;
    }
    return head.hasTokenCounts ? head.promptTokens + head.maximumOutputTokens : customer.defaultCallTokens;
}
