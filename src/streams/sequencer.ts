/**
 * Orders the events of one attempt and checks them for completeness. Pure: each event yields a new state and the steps
 * to execute.
 */
import type * as types from "./types.js";

/** Out-of-order events that are buffered at most. More of them mean that an event was lost, and the attempt fails. */
const MAXIMUM_BUFFERED_EVENTS = 64;

export interface State {
    readonly requestId: string;
    readonly attempt: number;
    readonly nextSequence: number;
    /** Index of the next token in the whole response. */
    readonly nextIndex: number;
    /** Events that arrived before their predecessors, by sequence number. */
    readonly outOfOrder: ReadonlyMap<number, types.EventBody>;
    readonly terminated: boolean;
}

export type DropReason = "other-request" | "other-attempt" | "duplicate" | "after-end";

export type Step =
    | { readonly kind: "deliver"; readonly body: types.EventBody; }
    | { readonly kind: "drop"; readonly reason: DropReason; }
    /** The events are inconsistent; nothing else of the attempt is delivered. */
    | { readonly kind: "violation"; readonly detail: string; };

/** Result of an event. */
export interface Transition {
    readonly state: State;
    readonly steps: readonly Step[];
}

/** Returns the state before the first event. `nextIndex` is the number of tokens that the caller has received. */
export function initialState(requestId: string, attempt: number, nextIndex: number): State {
    return { requestId, attempt, nextSequence: 0, nextIndex, outOfOrder: new Map(), terminated: false };
}

/** Applies an event. Events that are not new or belong to another attempt are dropped. */
export function accept(state: State, event: types.StreamEvent): Transition {
    const reason = dropReason(state, event);
    if (reason !== undefined) {
        return { state, steps: [{ kind: "drop", reason }] };
    }
    const outOfOrder = new Map(state.outOfOrder).set(event.sequence, event.body);
    if (event.sequence !== state.nextSequence) {
        return outOfOrder.size > MAXIMUM_BUFFERED_EVENTS
            ? violation(state, `event ${state.nextSequence} is missing`)
            : { state: { ...state, outOfOrder }, steps: [] };
    }
    return deliver({ ...state, outOfOrder });
}

function dropReason(state: State, event: types.StreamEvent): DropReason | undefined {
    if (event.requestId !== state.requestId) {
        return "other-request";
    }
    if (event.attempt !== state.attempt) {
        return "other-attempt";
    }
    if (state.terminated) {
        return "after-end";
    }
    return event.sequence < state.nextSequence || state.outOfOrder.has(event.sequence) ? "duplicate" : undefined;
}

function deliver(initial: State): Transition {
    const steps: Step[] = [];
    let state = initial;
    for (;;) {
        const body = state.outOfOrder.get(state.nextSequence);
        if (body === undefined || state.terminated) {
            return { state, steps };
        }
        const detail = inconsistency(state, body);
        if (detail !== undefined) {
            const failed = violation(state, detail);
            return { state: failed.state, steps: [...steps, ...failed.steps] };
        }
        steps.push({ kind: "deliver", body });
        state = advance(state, body);
    }
}

function advance(state: State, body: types.EventBody): State {
    const outOfOrder = new Map(state.outOfOrder);
    outOfOrder.delete(state.nextSequence);
    return {
        ...state,
        outOfOrder,
        nextSequence: state.nextSequence + 1,
        nextIndex: state.nextIndex + (body.type === "token" ? 1 : 0),
        terminated: TERMINAL_TYPES.has(body.type),
    };
}

function inconsistency(state: State, body: types.EventBody): string | undefined {
    if (body.type === "token" && body.index !== state.nextIndex) {
        return `received token ${body.index}, expected ${state.nextIndex}`;
    }
    if (body.type === "ended" && body.count !== state.nextIndex) {
        return `end event counts ${body.count} tokens, expected ${state.nextIndex}`;
    }
    return undefined;
}

function violation(state: State, detail: string): Transition {
    return { state: { ...state, outOfOrder: new Map(), terminated: true }, steps: [{ kind: "violation", detail }] };
}

/** Event types that end an attempt. */
export const TERMINAL_TYPES: ReadonlySet<types.EventBody["type"]> = new Set(["ended", "failed", "redirected"] as const);
