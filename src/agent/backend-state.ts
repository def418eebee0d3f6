/** What the agent knows of the backend server beside it. */

export interface BackendLoad {
    readonly queuedTokens: number;
    readonly running: number;
    readonly waiting: number;
}

/** Immutable state of the backend server; a section of the blackboard. */
export interface Backend {
    readonly reachable: boolean;
    /** Run of the backend server; empty when unknown. */
    readonly boot: string;
    readonly load: BackendLoad;
    /** Loaded weights as `model@version`; empty for plain services. */
    readonly weights: readonly string[];
}

export const unknownBackend: Backend = {
    reachable: false,
    boot: "",
    load: { queuedTokens: 0, running: 0, waiting: 0 },
    weights: [],
};

export function weightsName(model: string, version: string): string {
    return `${model}@${version}`;
}
