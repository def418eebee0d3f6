/** Order and completeness of the events of one attempt. Pure: each event gives a new state and the steps to take. */
import type * as types from "./types.js";

/** An agent that is further ahead than this has lost an event; the attempt is given up. */
const BUFFER_LIMIT = 64;

export interface State {
    readonly requestId: string;
    readonly attempt: number;
    readonly nextSequence: number;
    /** Index of the next token of the whole answer. */
    readonly nextIndex: number;
    /** Events that arrived before their predecessors. */
    readonly early: ReadonlyMap<number, types.Body>;
    readonly terminated: boolean;
}

export type DropReason = "other-request" | "other-attempt" | "duplicate" | "after-end";

export type Step =
    | { readonly kind: "deliver"; readonly body: types.Body; }
    | { readonly kind: "drop"; readonly reason: DropReason; }
    /** The attempt is not to be trusted further; nothing of it is delivered after this. */
    | { readonly kind: "violation"; readonly detail: string; };

export interface Accepted {
    readonly state: State;
    readonly steps: readonly Step[];
}

/** State before the first event. `nextIndex` is the number of tokens that the caller already has. */
export function begin(requestId: string, attempt: number, nextIndex: number): State {
    return { requestId, attempt, nextSequence: 0, nextIndex, early: new Map(), terminated: false };
}

export function accept(state: State, event: types.StreamEvent): Accepted {
    const reason = dropReason(state, event);
    if (reason !== undefined) {
        return { state, steps: [{ kind: "drop", reason }] };
    }
    const early = new Map(state.early).set(event.sequence, event.body);
    if (event.sequence !== state.nextSequence) {
        return early.size > BUFFER_LIMIT
            ? violation(state, `event ${state.nextSequence} is missing`)
            : { state: { ...state, early }, steps: [] };
    }
    return deliver({ ...state, early });
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
    return event.sequence < state.nextSequence || state.early.has(event.sequence) ? "duplicate" : undefined;
}

function deliver(start: State): Accepted {
    const steps: Step[] = [];
    let state = start;
    for (;;) {
        const body = state.early.get(state.nextSequence);
        if (body === undefined || state.terminated) {
            return { state, steps };
        }
        const detail = contradiction(state, body);
        if (detail !== undefined) {
            const broken = violation(state, detail);
            return { state: broken.state, steps: [...steps, ...broken.steps] };
        }
        steps.push({ kind: "deliver", body });
        state = advance(state, body);
    }
}

function advance(state: State, body: types.Body): State {
    const early = new Map(state.early);
    early.delete(state.nextSequence);
    return {
        ...state,
        early,
        nextSequence: state.nextSequence + 1,
        nextIndex: state.nextIndex + (body.type === "token" ? 1 : 0),
        terminated: TERMINAL.has(body.type),
    };
}

function contradiction(state: State, body: types.Body): string | undefined {
    if (body.type === "token" && body.index !== state.nextIndex) {
        return `token ${body.index} instead of ${state.nextIndex}`;
    }
    if (body.type === "ended" && body.count !== state.nextIndex) {
        return `end after ${body.count} tokens instead of ${state.nextIndex}`;
    }
    return undefined;
}

function violation(state: State, detail: string): Accepted {
    return { state: { ...state, early: new Map(), terminated: true }, steps: [{ kind: "violation", detail }] };
}

/** Types of the events that end an attempt. */
export const TERMINAL: ReadonlySet<types.Body["type"]> = new Set(["ended", "failed", "redirected"] as const);
