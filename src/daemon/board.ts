/** State that the features of a process share: one blackboard section for each kind of state. */
import * as admission from "../admission/types.js";
import * as agent from "../agent/backend-state.js";
import * as blackboards from "../core/blackboard.js";
import * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import type * as quarantine from "../quarantine/types.js";
import * as rollout from "../rollout/types.js";

export interface Sections {
    /** Configuration in force. */
    readonly configuration: manifest.Configuration;
    readonly members: membership.Members;
    readonly holders: admission.Holders;
    readonly rollouts: rollout.Rollouts;
    readonly suspects: quarantine.Suspects;
    /** Backend server of this agent; `unknownBackend` in an entry. */
    readonly backend: agent.BackendState;
    /** Monotonic time in milliseconds of the last proof that the store is reachable; -Infinity if there is none yet. */
    readonly storeSeenAt: number;
    /** The process accepts no new work. */
    readonly draining: boolean;
}

export type Board = blackboards.Blackboard<Sections>;

export function createBoard(): Board {
    return new blackboards.Blackboard<Sections>({
        configuration: manifest.emptyConfiguration,
        members: new Map(),
        holders: admission.emptyHolders,
        rollouts: rollout.emptyRollouts,
        suspects: new Map(),
        backend: agent.unknownBackend,
        storeSeenAt: Number.NEGATIVE_INFINITY,
        draining: false,
    });
}
