/** Decides the next step in updating a server to newer weights. */
import type * as fleet from "../fleet/types.js";
import type * as turns from "./turn.js";
import type * as types from "./types.js";

/**
 * Maximum time in milliseconds for which a server winds down, getting only short calls, before it updates; most long
 * responses that are running when the wind-down starts end within this time.
 */
const MAXIMUM_WIND_DOWN_MS = 800;
/** Number of running calls up to which a server does not need to wind down. */
const NEARLY_IDLE_CALLS = 2;
/** Time in milliseconds between the announcement to the entries and the order, so that calls stop arriving first. */
const ANNOUNCEMENT_DELAY_MS = 60;
/** Time in milliseconds after which an order without visible effect is repeated. */
const ORDER_RETRY_MS = 400;

/** Progress of the update of a server. */
export interface UpdateState {
    readonly model: string;
    /** Version to load. */
    readonly version: number;
    readonly windingDownSince: number;
    /** Time at which the entries were asked to stop sending calls; undefined while the server winds down. */
    readonly announcedAt: number | undefined;
    /** Time of the latest order to the server; undefined before the first one. */
    readonly orderedAt: number | undefined;
}

export interface UpdateInput {
    /** Undefined when the server does not answer. */
    readonly engine: types.EngineState | undefined;
    readonly desired: fleet.DesiredWeights;
    readonly turn: turns.Turn;
    /** The update in progress. */
    readonly update: UpdateState | undefined;
}

/**
 * - `idle`: no update is needed or possible now.
 * - `wind-down`: starts to wind the server down.
 * - `announce`: asks the entries to stop sending calls.
 * - `wait`: the update in progress continues without a new action.
 * - `order`: orders the server to load a version.
 * - `finish`: ends the update, since its version is in force or the update is abandoned.
 */
export type UpdateStep =
    | { readonly kind: "idle"; }
    | { readonly kind: "wind-down"; readonly update: UpdateState; }
    | { readonly kind: "announce"; readonly update: UpdateState; }
    | { readonly kind: "wait"; }
    | { readonly kind: "order"; readonly order: types.VersionOrder; }
    | { readonly kind: "finish"; readonly version: number; };

/**
 * Every step starts from the server's current state, since the server may have stopped answering, be busy with an
 * earlier order, or have been restarted.
 */
export function nextStep(input: UpdateInput, now: number): UpdateStep {
    const { engine, desired, update } = input;
    const version = engine?.weights.get(desired.model);
    if (engine === undefined || version === undefined || engine.isBusy) {
        return { kind: update === undefined ? "idle" : "wait" };
    }
    const isSuperseded = update !== undefined && update.version < desired.version && input.turn !== "now";
    if (update !== undefined && (version >= update.version || isSuperseded || isPostponed(update, input.turn))) {
        return { kind: "finish", version };
    }
    if (version >= desired.version || input.turn === "later" && update === undefined) {
        return { kind: "idle" };
    }
    const since = update?.windingDownSince ?? now;
    const next = { model: desired.model, version: desired.version, windingDownSince: since, orderedAt: undefined };
    const mayAnnounce = input.turn === "now"
        && (now - since >= MAXIMUM_WIND_DOWN_MS || engine.running <= NEARLY_IDLE_CALLS);
    if (update?.announcedAt === undefined && !mayAnnounce) {
        const isWindingDown = update?.version === desired.version;
        return isWindingDown ? { kind: "wait" } : { kind: "wind-down", update: { ...next, announcedAt: undefined } };
    }
    if (update?.announcedAt === undefined || update.version < desired.version) {
        return { kind: "announce", update: { ...next, announcedAt: update?.announcedAt ?? now } };
    }
    const isAnnounced = now - update.announcedAt >= ANNOUNCEMENT_DELAY_MS;
    const wasJustOrdered = update.orderedAt !== undefined && now - update.orderedAt < ORDER_RETRY_MS;
    if (!isAnnounced || wasJustOrdered) {
        return { kind: "wait" };
    }
    const order = {
        model: desired.model,
        version: desired.version,
        fencingToken: desired.revision,
        expectedOrderCount: engine.orderCount,
    };
    return { kind: "order", order };
}

/** Other servers update first after all, such as servers whose heartbeats were missing when the wind-down started. */
function isPostponed(update: UpdateState, turn: turns.Turn): boolean {
    return update.announcedAt === undefined && turn === "later";
}
