/** Decides the next step of moving one server to newer weights. */
import type * as fleet from "../fleet/types.js";
import type * as types from "./types.js";

/** Time in milliseconds between the announcement to the entries and the order, so that calls stop arriving first. */
const ANNOUNCEMENT_MS = 100;
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
    readonly named: fleet.NamedWeights | undefined;
    /** Moment from which the server may load this version. */
    readonly startAt: number;
    readonly move: MoveState | undefined;
}

export type MoveStep =
    | { readonly kind: "rest"; }
    | { readonly kind: "announce"; readonly move: MoveState; }
    | { readonly kind: "wait"; }
    | { readonly kind: "order"; readonly order: types.VersionOrder; }
    | { readonly kind: "done"; };

/** The server may be silent, busy with an earlier order, or have been restarted; each step looks at its state anew. */
export function nextStep(input: MoveInput, now: number): MoveStep {
    const { engine, named, move } = input;
    if (engine === undefined || named === undefined) {
        return { kind: move === undefined ? "rest" : "wait" };
    }
    const version = engine.weights.get(named.model);
    if (version === undefined || version >= named.version) {
        return { kind: move === undefined || engine.isBusy ? "rest" : "done" };
    }
    if (move === undefined || move.version !== named.version) {
        const model = named.model;
        const announcedAt = move?.announcedAt ?? now;
        const next = { model, version: named.version, announcedAt, orderedAt: undefined };
        return now >= input.startAt || move !== undefined ? { kind: "announce", move: next } : { kind: "rest" };
    }
    const isAnnounced = now - move.announcedAt >= ANNOUNCEMENT_MS;
    const isRepeat = move.orderedAt !== undefined && now - move.orderedAt < REPEAT_MS;
    if (engine.isBusy || !isAnnounced || isRepeat) {
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
