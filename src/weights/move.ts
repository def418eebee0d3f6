/** Decides the next step of moving one server to newer weights. */
import type * as fleet from "../fleet/types.js";
import type * as turns from "./turn.js";
import type * as types from "./types.js";

/**
 * Time in milliseconds in which a server still gets short calls before it moves; most long answers that run at its
 * beginning end within it.
 */
const WIND_DOWN_MS = 800;
/** Runs up to which a server need not wind down. */
const FEW_RUNS = 2;
/** Time in milliseconds between the announcement to the entries and the order, so that calls stop arriving first. */
const ANNOUNCEMENT_MS = 60;
/** Time in milliseconds after an order without visible effect, after which it is repeated. */
const REPEAT_MS = 400;

export interface MoveState {
    readonly model: string;
    readonly version: number;
    readonly windingDownSince: number;
    /** When the entries were told to send no calls; undefined while the server winds down. */
    readonly announcedAt: number | undefined;
    readonly orderedAt: number | undefined;
}

export interface MoveInput {
    readonly engine: types.EngineState | undefined;
    readonly named: fleet.NamedWeights;
    readonly turn: turns.Turn;
    readonly move: MoveState | undefined;
}

/** `finish` ends a move, with the version in force or given up for a newer one. */
export type MoveStep =
    | { readonly kind: "rest"; }
    | { readonly kind: "wind-down"; readonly move: MoveState; }
    | { readonly kind: "announce"; readonly move: MoveState; }
    | { readonly kind: "wait"; }
    | { readonly kind: "order"; readonly order: types.VersionOrder; }
    | { readonly kind: "finish"; readonly version: number; };

/** The server may be silent, busy with an earlier order, or have been restarted; each step looks at its state anew. */
export function nextStep(input: MoveInput, now: number): MoveStep {
    const { engine, named, move } = input;
    const version = engine?.weights.get(named.model);
    if (engine === undefined || version === undefined || engine.isBusy) {
        return { kind: move === undefined ? "rest" : "wait" };
    }
    const isUnwanted = move !== undefined && move.version < named.version && input.turn !== "now";
    if (move !== undefined && (version >= move.version || isUnwanted || isPutOff(move, input.turn))) {
        return { kind: "finish", version };
    }
    if (version >= named.version || input.turn === "later" && move === undefined) {
        return { kind: "rest" };
    }
    const since = move?.windingDownSince ?? now;
    const next = { model: named.model, version: named.version, windingDownSince: since, orderedAt: undefined };
    const mayClose = input.turn === "now" && (now - since >= WIND_DOWN_MS || engine.running <= FEW_RUNS);
    if (move?.announcedAt === undefined && !mayClose) {
        const isKnown = move?.version === named.version;
        return isKnown ? { kind: "wait" } : { kind: "wind-down", move: { ...next, announcedAt: undefined } };
    }
    if (move?.announcedAt === undefined || move.version < named.version) {
        return { kind: "announce", move: { ...next, announcedAt: move?.announcedAt ?? now } };
    }
    const isAnnounced = now - move.announcedAt >= ANNOUNCEMENT_MS;
    const wasOrderedNow = move.orderedAt !== undefined && now - move.orderedAt < REPEAT_MS;
    if (!isAnnounced || wasOrderedNow) {
        return { kind: "wait" };
    }
    const order = {
        model: named.model,
        version: named.version,
        fencingToken: named.revision,
        expectedOrderCount: engine.orderCount,
    };
    return { kind: "order", order };
}

/** Others go first after all, for example servers that were not heard when this one began to wind down. */
function isPutOff(move: MoveState, turn: turns.Turn): boolean {
    return move.announcedAt === undefined && turn === "later";
}
