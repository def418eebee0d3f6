/** Decides which servers load or unload weights next. */
import * as states from "../agent/backend-state.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as manifest from "../manifest/types.js";
import * as pacing from "./pacing.js";
import * as servingPolicies from "./serving-policy.js";
import * as types from "./types.js";

export type OrderKind = "load-weights" | "unload-weights";

export interface Order {
    /** RPC address of the agent beside the server. */
    readonly address: string;
    readonly kind: OrderKind;
    readonly model: string;
    readonly weightsVersion: string;
}

/** An engine that can receive orders. */
export interface Server {
    readonly address: string;
    readonly models: readonly string[];
    /** Loaded weights as `model@version`. */
    readonly weights: readonly string[];
    /** Its last order failed recently. */
    readonly isBackingOff: boolean;
}

export interface PlanInput {
    readonly configuration: manifest.Configuration;
    readonly rollouts: types.Rollouts;
    readonly servers: readonly Server[];
    /** Orders that have been sent but have not completed. */
    readonly inFlight: readonly Order[];
    /** Addresses whose last order is complete but not yet visible in their member document. */
    readonly awaitingVisibility: ReadonlySet<string>;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: number;
}

/** Number of servers that must have loaded the new version before it gets the share. */
export function requiredServers(share: number, serverCount: number): number {
    return serverCount === 0 ? 0 : Math.max(1, Math.ceil(share * serverCount));
}

export function serversOf(servers: readonly Server[], model: string): readonly Server[] {
    return servers.filter(server => server.models.includes(model));
}

export function isLoaded(server: Server, model: string, version: string): boolean {
    return server.weights.includes(states.weightsName(model, version));
}

/** Orders to send now. `parallelLoads` limits the loads of all models together, since they share one weight store. */
export function nextOrders(input: PlanInput): readonly Order[] {
    const busy = new Set([...input.awaitingVisibility, ...input.inFlight.map(order => order.address)]);
    const orders: Order[] = [];
    let loads = input.inFlight.filter(order => order.kind === "load-weights").length;
    for (const order of requiredOrders(input)) {
        const limit = input.configuration.models.get(order.model)?.parallelLoads ?? 1;
        const isLoad = order.kind === "load-weights";
        if (busy.has(order.address) || (isLoad && loads >= limit)) {
            continue;
        }
        busy.add(order.address);
        loads += Number(isLoad);
        orders.push(order);
    }
    return orders;
}

/** All orders that are needed to reach the desired state of the servers that are not in backoff. */
export function requiredOrders(input: PlanInput): readonly Order[] {
    return [...input.configuration.models.values()].flatMap(model => {
        const servers = serversOf(input.servers, model.name).filter(server => !server.isBackingOff);
        return [
            ...configuredLoadOrders(model, servers),
            ...rolloutLoadOrders(model, servers, input),
            ...unloadOrders(model, servers, input),
        ];
    });
}

/** Loads of the configured version; an engine restarts without the weights that an order loaded before its crash. */
function configuredLoadOrders(model: manifest.Model, servers: readonly Server[]): readonly Order[] {
    return servers
        .filter(server => !isLoaded(server, model.name, model.weightsVersion))
        .map(server => createOrder(server, "load-weights", model, model.weightsVersion));
}

function rolloutLoadOrders(model: manifest.Model, servers: readonly Server[], input: PlanInput): readonly Order[] {
    const rollout = servingPolicies.rolloutOf(input.configuration, model.name);
    if (rollout === undefined || servingPolicies.isWithdrawn(rollout, input.rollouts, input.wallTime)) {
        return [];
    }
    const status = types.statusOf(input.rollouts, rollout);
    const required = requiredServers(targetShare(rollout, status, input.wallTime), servers.length);
    const loaded = servers.filter(server => isLoaded(server, model.name, rollout.to));
    // Servers that have loaded the new version are counted first, so that membership changes cause no extra loads.
    const others = servers.filter(server => !loaded.includes(server));
    const byAddress = new Map(others.map(server => [server.address, server]));
    const ranked = rendezvous.rank(
        types.identityOf(rollout),
        others.map(server => ({ id: server.address, weight: 1 })),
    );
    return ranked
        .slice(0, Math.max(0, required - loaded.length))
        .flatMap(node => byAddress.get(node.id) ?? [])
        .map(server => createOrder(server, "load-weights", model, rollout.to));
}

/** Share for which to load the new version: that of the next step once the current step may end early. */
function targetShare(rollout: manifest.Rollout, status: types.RolloutStatus | undefined, wallTime: number): number {
    if (status?.phase === "done") {
        return 1;
    }
    if (status === undefined || status.phase === "loading") {
        return rollout.steps[0];
    }
    // Loading ahead of time would spread the small share over more servers, and its bursts would not reach high load.
    const next = rollout.steps[pacing.stepIndex(rollout, status.share) + 1] ?? 1;
    return pacing.mayEndStep(rollout, status, true, wallTime) ? next : status.share;
}

/** Unloads of versions of earlier rollouts that the configuration no longer uses. */
function unloadOrders(model: manifest.Model, servers: readonly Server[], input: PlanInput): readonly Order[] {
    const retained = retainedVersions(input.configuration, input.rollouts, model, input.wallTime);
    const ended = input.rollouts.statuses
        .filter(status => status.model === model.name)
        .flatMap(status => [status.from, status.to])
        .filter(version => !retained.has(version));
    return [...new Set(ended)].flatMap(version =>
        servers
            .filter(server => isLoaded(server, model.name, version))
            .map(server => createOrder(server, "unload-weights", model, version))
    );
}

/** Versions of a model that must not be unloaded. */
export function retainedVersions(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    model: manifest.Model,
    wallTime: number,
): ReadonlySet<string> {
    const rollout = servingPolicies.rolloutOf(configuration, model.name);
    // Keeps the old version after the rollout is done: removing the rollout from the manifest makes it serve again.
    const retained = [model.weightsVersion, ...(rollout === undefined ? [] : [rollout.from])];
    const isWithdrawn = rollout === undefined || servingPolicies.isWithdrawn(rollout, rollouts, wallTime);
    return new Set(isWithdrawn ? retained : [...retained, rollout.to]);
}

function createOrder(server: Server, kind: OrderKind, model: manifest.Model, weightsVersion: string): Order {
    return { address: server.address, kind, model: model.name, weightsVersion };
}
