/**
 * Divides the servers of a service into a group for short prompts and one for long prompts.
 *
 * Load pattern: an engine prefills a long prompt in pieces between the tokens of the streams that it runs, so that each
 * token of a short answer takes many times as long meanwhile. With both kinds on all servers, most short streams meet a
 * long prefill although the engines are idle for most of the time. Divided, each kind meets only its own kind.
 */
import * as hashing from "../core/hashing.js";
import type * as promptDemands from "./prompt-demand.js";
import type * as types from "./types.js";

/** Share of its time that a server of a group prefills at most while there are servers enough. */
const MAXIMUM_PREFILL_SHARE = 0.5;
/** Share of its slots that a server of a group uses at most while there are servers enough. */
const MAXIMUM_SLOT_SHARE = 0.5;
/** Demand in busy servers from which on a kind gets a group of its own, and below which it loses it. */
const MINIMUM_BUSY_SERVERS = { begin: 0.05, end: 0.025 } as const;
/** Number of servers below which both kinds share all of them. */
const MINIMUM_SERVERS = 4;
/** Share of the servers that the less urgent kind keeps when there are too few for both. */
const MINIMUM_GROUP_SHARE = 0.25;
/** Change of the wanted size, relative to the present one, below which a group keeps its size. */
const SIZE_TOLERANCE = 0.25;

export interface DivisionInput {
    /** Number of servers that can be divided. */
    readonly servers: number;
    readonly slots: number;
    readonly demand: promptDemands.Demand;
    /** The kind whose calls are more urgent; undefined if both are equally urgent. */
    readonly urgentKind: types.PromptKind | undefined;
    /** Present size of the group for short prompts; undefined without a division. */
    readonly shortServers: number | undefined;
}

/** Number of servers for short prompts; the others are for long ones. Undefined if both kinds share all servers. */
export function shortServers(input: DivisionInput): number | undefined {
    const { servers, demand, shortServers: present } = input;
    const leastBusy = present === undefined ? MINIMUM_BUSY_SERVERS.begin : MINIMUM_BUSY_SERVERS.end;
    const isMixed = Math.min(demand.short.busyServers, demand.long.busyServers) >= leastBusy;
    if (!isMixed || servers < MINIMUM_SERVERS) {
        return undefined;
    }
    const wanted = wantedShortServers(input);
    // Hysteresis: a server that changes groups has other cached parts than its new calls need.
    const isKept = present !== undefined && present < servers
        && Math.abs(wanted - present) <= Math.max(1, present * SIZE_TOLERANCE);
    return isKept ? present : wanted;
}

/**
 * Orders servers so that the first ones are for short prompts. All entries agree on the order without communication. The
 * data centres alternate, so that each group has servers in all of them.
 */
export function orderServers<Server extends { readonly id: string; readonly dataCentre: string; }>(
    servers: readonly Server[],
): readonly Server[] {
    const hashed = servers.map(server => ({ server, hash: hashing.unitHash(server.id) }))
        .sort((left, right) => left.hash - right.hash || (left.server.id < right.server.id ? -1 : 1));
    const sizes = new Map<string, number>();
    hashed.forEach(({ server }) => sizes.set(server.dataCentre, (sizes.get(server.dataCentre) ?? 0) + 1));
    const counts = new Map<string, number>();
    return hashed.map(({ server }) => {
        const { dataCentre } = server;
        const count = counts.get(dataCentre) ?? 0;
        counts.set(dataCentre, count + 1);
        // Position within the data centre, relative to its size; the hash of the name orders equal positions.
        return { server, position: (count + hashing.unitHash(dataCentre)) / sizes.get(dataCentre)! };
    }).sort((left, right) => left.position - right.position).map(({ server }) => server);
}

/**
 * Splits ordered servers into the groups. The first `count` servers that are not suspected are for short prompts, and so
 * are the suspected ones among them.
 */
export function splitServers(
    order: readonly { readonly id: string; }[],
    count: number,
    suspected: ReadonlySet<string>,
): Readonly<Record<types.PromptKind, ReadonlySet<string>>> {
    const servers = { short: new Set<string>(), long: new Set<string>() };
    let remaining = count;
    for (const { id } of order) {
        servers[remaining > 0 ? "short" : "long"].add(id);
        remaining -= suspected.has(id) ? 0 : 1;
    }
    return servers;
}

function wantedShortServers(input: DivisionInput): number {
    const { servers, urgentKind } = input;
    const short = needOf("short", input);
    const long = needOf("long", input);
    if (short + long <= servers) {
        // Long prompts get what is left, since their shared parts need the memory.
        return clamp(Math.ceil(short), servers);
    }
    const least = Math.max(1, Math.floor(servers * MINIMUM_GROUP_SHARE));
    if (urgentKind === "short") {
        return clamp(Math.min(Math.ceil(short), servers - least), servers);
    }
    return urgentKind === "long"
        ? clamp(Math.max(Math.floor(servers - long), least), servers)
        : clamp(Math.round(servers * short / (short + long)), servers);
}

/** Number of servers that the prompts of a kind need. */
function needOf(kind: types.PromptKind, { demand, slots }: DivisionInput): number {
    const { busyServers, calls } = demand[kind];
    return Math.max(busyServers / MAXIMUM_PREFILL_SHARE, calls / (Math.max(1, slots) * MAXIMUM_SLOT_SHARE));
}

function clamp(count: number, servers: number): number {
    return Math.min(servers - 1, Math.max(1, count));
}
