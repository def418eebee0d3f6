/** Decides which servers load or unload weights next. Pure. */
import * as states from "../agent/backend-state.js";
import * as rendezvous from "../core/rendezvous.js";
import type * as manifest from "../manifest/types.js";
import * as effects from "./effect.js";
import * as pacing from "./pacing.js";
import * as types from "./types.js";

export type OrderKind = "load-weights" | "unload-weights";

export interface Order {
    /** RPC address of the agent beside the server. */
    readonly address: string;
    readonly kind: OrderKind;
    readonly model: string;
    readonly weightsVersion: string;
}

/** An engine that takes orders. */
export interface Server {
    readonly address: string;
    readonly models: readonly string[];
    /** Loaded weights as `model@version`. */
    readonly weights: readonly string[];
    /** Its last order failed a short time ago. */
    readonly failing: boolean;
}

export interface PlanInput {
    readonly configuration: manifest.Configuration;
    readonly rollouts: types.Rollouts;
    readonly servers: readonly Server[];
    /** Orders that an engine carries out at present. */
    readonly inFlight: readonly Order[];
    /** Servers whose last order is complete but not yet visible in their member document. */
    readonly settling: ReadonlySet<string>;
    /** Milliseconds since the Unix epoch. */
    readonly wallTime: number;
}

/** Servers that must have the new version before it gets the share. */
export function requiredServers(share: number, servers: number): number {
    return servers === 0 ? 0 : Math.max(1, Math.ceil(share * servers));
}

export function serversOf(servers: readonly Server[], model: string): readonly Server[] {
    return servers.filter(server => server.models.includes(model));
}

export function isLoaded(server: Server, model: string, version: string): boolean {
    return server.weights.includes(states.weightsName(model, version));
}

/** Orders to give now. Loads respect `parallelLoads` over all models, since they share one weight store. */
export function nextOrders(input: PlanInput): readonly Order[] {
    const busy = new Set([...input.settling, ...input.inFlight.map(order => order.address)]);
    const orders: Order[] = [];
    let loads = input.inFlight.filter(order => order.kind === "load-weights").length;
    for (const order of wantedOrders(input)) {
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

/** All orders that would reach the wanted state of the servers that are not failing. */
export function wantedOrders(input: PlanInput): readonly Order[] {
    return [...input.configuration.models.values()].flatMap(model => {
        const servers = serversOf(input.servers, model.name).filter(server => !server.failing);
        return [
            ...declaredLoads(model, servers),
            ...rolloutLoads(model, servers, input),
            ...unloads(model, servers, input),
        ];
    });
}

/** An engine that crashed comes back without the weights that were loaded by an order. */
function declaredLoads(model: manifest.Model, servers: readonly Server[]): readonly Order[] {
    return servers
        .filter(server => !isLoaded(server, model.name, model.weightsVersion))
        .map(server => order(server, "load-weights", model, model.weightsVersion));
}

function rolloutLoads(model: manifest.Model, servers: readonly Server[], input: PlanInput): readonly Order[] {
    const rollout = effects.rolloutOf(input.configuration, model.name);
    if (rollout === undefined || effects.isWithdrawn(rollout, input.rollouts, input.wallTime)) {
        return [];
    }
    const status = types.statusOf(input.rollouts, rollout);
    const wanted = requiredServers(wantedShare(rollout, status, input.wallTime), servers.length);
    const loaded = servers.filter(server => isLoaded(server, model.name, rollout.to));
    // A server that has the new version already keeps it, so that a change of membership causes no further loads.
    const others = servers.filter(server => !loaded.includes(server));
    const byAddress = new Map(others.map(server => [server.address, server]));
    const ranked = rendezvous.rank(
        types.identityOf(rollout),
        others.map(server => ({ id: server.address, weight: 1 })),
    );
    return ranked
        .slice(0, Math.max(0, wanted - loaded.length))
        .flatMap(node => byAddress.get(node.id) ?? [])
        .map(server => order(server, "load-weights", model, rollout.to));
}

/** Share for which the new version is loaded: that of the next step once the present one may end soon. */
function wantedShare(rollout: manifest.Rollout, status: types.RolloutStatus | undefined, wallTime: number): number {
    if (status?.phase === "done") {
        return 1;
    }
    if (status === undefined || status.phase === "loading") {
        return rollout.steps[0];
    }
    // Few servers have the new version while its share is small, so that its bursts reach the high load level.
    const next = rollout.steps[pacing.stepIndex(rollout, status.share) + 1] ?? 1;
    return pacing.mayEnd(rollout, status, true, wallTime) ? next : status.share;
}

/** Versions of ended rollouts that neither the manifest nor a rollout in it names. */
function unloads(model: manifest.Model, servers: readonly Server[], input: PlanInput): readonly Order[] {
    const kept = neededVersions(input.configuration, input.rollouts, model, input.wallTime);
    const ended = input.rollouts.statuses
        .filter(status => status.model === model.name)
        .flatMap(status => [status.from, status.to])
        .filter(version => !kept.has(version));
    return [...new Set(ended)].flatMap(version =>
        servers
            .filter(server => isLoaded(server, model.name, version))
            .map(server => order(server, "unload-weights", model, version))
    );
}

/** Versions of a model that must not be unloaded. */
export function neededVersions(
    configuration: manifest.Configuration,
    rollouts: types.Rollouts,
    model: manifest.Model,
    wallTime: number,
): ReadonlySet<string> {
    const rollout = effects.rolloutOf(configuration, model.name);
    // The old version stays after the rollout is done: removing the rollout from the manifest makes it serve again.
    const needed = [model.weightsVersion, ...(rollout === undefined ? [] : [rollout.from])];
    const isWithdrawn = rollout === undefined || effects.isWithdrawn(rollout, rollouts, wallTime);
    return new Set(isWithdrawn ? needed : [...needed, rollout.to]);
}

function order(server: Server, kind: OrderKind, model: manifest.Model, weightsVersion: string): Order {
    return { address: server.address, kind, model: model.name, weightsVersion };
}
