/** State of the agent's backend server as last observed. */

export interface BackendLoad {
    readonly queuedTokens: number;
    readonly running: number;
    readonly waiting: number;
}

/** Immutable state of the backend server; stored in the blackboard section `backend`. */
export interface BackendState {
    readonly reachable: boolean;
    /** Boot identifier of the backend server, which changes on each restart; empty when unknown. */
    readonly boot: string;
    readonly load: BackendLoad;
    /** Loaded weights as `model@version`; empty for HTTP services. */
    readonly weights: readonly string[];
}

export const unknownBackend: BackendState = {
    reachable: false,
    boot: "",
    load: { queuedTokens: 0, running: 0, waiting: 0 },
    weights: [],
};

/** Identifies loaded weights as `model@version`. */
export function weightsName(model: string, version: string): string {
    return `${model}@${version}`;
}
