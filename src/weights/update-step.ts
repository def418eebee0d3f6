/** Decides the next step in updating a server to newer weights. */
import type * as fleet from "../fleet/types.js";
import type * as rollingUpdates from "./rolling-update.js";
import type * as types from "./types.js";

/**
 * Maximum time in milliseconds for which an update is pending while the server gets only short calls; most long responses
 * that are running when the update becomes pending end within this time.
 */
const MAXIMUM_PENDING_MS = 800;
/**
 * The same where calls compete for the servers, for a busy server, and for each running call: long answers take longer on a
 * busy server. It serves short calls while its update is pending, but none from the announcement until the last running
 * call has ended.
 */
const MAXIMUM_CONTENDED_PENDING_MS = 3000;
const CONTENDED_PENDING_MS_PER_CALL = 150;
/** Number of running calls up to which a server may update without waiting for them to end. */
const NEARLY_IDLE_CALLS = 2;
/** Time in milliseconds between the announcement to the entries and the order, so that calls stop arriving first. */
const ANNOUNCEMENT_DELAY_MS = 60;
/**
 * Longest time in milliseconds from the announcement for which the order waits for calls that the server has not begun to
 * answer. It would reject them, after all the time that they have waited there.
 */
const MAXIMUM_QUEUE_MS = 500;
/** Time in milliseconds after which an order without visible effect is repeated. */
const ORDER_RETRY_MS = 400;

/** Progress of the update of a server. */
export interface UpdateState {
    readonly model: string;
    /** Version to load. */
    readonly version: number;
    /** Time from which the server gets only short calls, so that its running calls end soon. */
    readonly pendingSince: number;
    /** Time at which the entries were asked to stop sending calls; undefined while the update is pending. */
    readonly announcedAt: number | undefined;
    /** Time of the latest order to the server; undefined before the first one. */
    readonly orderedAt: number | undefined;
}

export interface UpdateInput {
    /** Undefined when the server does not respond. */
    readonly engine: types.EngineState | undefined;
    readonly desired: fleet.DesiredWeights;
    /** Token of orders to the server; it does not go back from one order to the next. */
    readonly fencingToken: number;
    /** Calls compete for the servers, so that a server that finishes many calls before the update is missed. */
    readonly isContended?: boolean;
    /** When the server may update, depending on the other servers. */
    readonly timing: rollingUpdates.UpdateTiming;
    /** The update in progress. */
    readonly update: UpdateState | undefined;
}

/**
 * - `idle`: no update is needed or possible now.
 * - `set-pending`: makes the update pending; the server gets only short calls from then on.
 * - `announce`: asks the entries to stop sending calls.
 * - `wait`: the update in progress continues without a new action.
 * - `order`: orders the server to load a version.
 * - `finish`: ends the update, since its version is in force or the update is abandoned.
 * - `abandon`: ends the update of a model that the server no longer has.
 */
export type UpdateStep =
    | { readonly kind: "idle"; }
    | { readonly kind: "set-pending"; readonly update: UpdateState; }
    | { readonly kind: "announce"; readonly update: UpdateState; }
    | { readonly kind: "wait"; }
    | { readonly kind: "order"; readonly order: types.VersionOrder; }
    | { readonly kind: "finish"; readonly version: number; }
    | { readonly kind: "abandon"; };

/**
 * Every step starts from the server's current state, since the server may have stopped responding, be busy with an
 * earlier order, or have been restarted.
 */
export function nextStep(input: UpdateInput, now: number): UpdateStep {
    const { engine, desired, update } = input;
    if (engine === undefined || engine.isBusy) {
        return { kind: update === undefined ? "idle" : "wait" };
    }
    const version = engine.weights.get(desired.model);
    if (version === undefined) {
        return { kind: update === undefined ? "idle" : "abandon" };
    }
    const isSuperseded = update !== undefined && update.version < desired.version && input.timing !== "now";
    if (update !== undefined && (version >= update.version || isSuperseded || isPostponed(update, input.timing))) {
        return { kind: "finish", version };
    }
    if (version >= desired.version || input.timing === "later" && update === undefined) {
        return { kind: "idle" };
    }
    const since = update?.pendingSince ?? now;
    const next = { model: desired.model, version: desired.version, pendingSince: since, orderedAt: undefined };
    const mayAnnounce = input.timing === "now"
        && (now - since >= maximumPendingMs(engine, input.isContended === true) || engine.running <= NEARLY_IDLE_CALLS);
    if (update?.announcedAt === undefined && !mayAnnounce) {
        const isPending = update?.version === desired.version;
        return isPending ? { kind: "wait" } : { kind: "set-pending", update: { ...next, announcedAt: undefined } };
    }
    if (update?.announcedAt === undefined || update.version < desired.version) {
        return { kind: "announce", update: { ...next, announcedAt: update?.announcedAt ?? now } };
    }
    const isAnnounced = now - update.announcedAt >= ANNOUNCEMENT_DELAY_MS;
    const wasJustOrdered = update.orderedAt !== undefined && now - update.orderedAt < ORDER_RETRY_MS;
    const isEmptying = input.isContended === true && (engine.unstarted ?? 0) > 0
        && now - update.announcedAt < MAXIMUM_QUEUE_MS;
    if (!isAnnounced || isEmptying || wasJustOrdered) {
        return { kind: "wait" };
    }
    const order = {
        model: desired.model,
        version: desired.version,
        fencingToken: input.fencingToken,
        expectedOrderCount: engine.orderCount,
    };
    return { kind: "order", order };
}

/** Longest time in milliseconds for which the update of a server with these calls is pending. */
function maximumPendingMs({ running }: types.EngineState, isContended: boolean): number {
    return isContended
        ? Math.min(MAXIMUM_CONTENDED_PENDING_MS, Math.max(MAXIMUM_PENDING_MS, running * CONTENDED_PENDING_MS_PER_CALL))
        : MAXIMUM_PENDING_MS;
}

/** Other servers update first after all, such as servers whose heartbeats were missing when the update became pending. */
function isPostponed(update: UpdateState, timing: rollingUpdates.UpdateTiming): boolean {
    return update.announcedAt === undefined && timing === "later";
}
