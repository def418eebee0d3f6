/** Decides the next step of moving one server to newer weights. */
import type * as fleet from "../fleet/types.js";
import type * as types from "./types.js";

/** Time in milliseconds between the announcement to the entries and the order, so that calls stop arriving first. */
const ANNOUNCEMENT_MS = 60;
/** Time in milliseconds after an order without visible effect, after which it is repeated. */
const REPEAT_MS = 400;

export interface MoveState {
    readonly model: string;
    readonly version: number;
    readonly announcedAt: number;
    readonly orderedAt: number | undefined;
}

export interface MoveInput {
    readonly engine: types.EngineState | undefined;
    readonly named: fleet.NamedWeights;
    /** The server may begin to move now. */
    readonly isTurn: boolean;
    readonly move: MoveState | undefined;
}

/** `finish` ends a move, with the version in force or given up for a newer one. */
export type MoveStep =
    | { readonly kind: "rest"; }
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
    if (move !== undefined && (version >= move.version || move.version < named.version && !input.isTurn)) {
        return { kind: "finish", version };
    }
    if (version >= named.version || !input.isTurn && move === undefined) {
        return { kind: "rest" };
    }
    if (move === undefined || move.version < named.version) {
        const announcedAt = move?.announcedAt ?? now;
        const next = { model: named.model, version: named.version, announcedAt, orderedAt: undefined };
        return { kind: "announce", move: next };
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
