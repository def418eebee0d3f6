/** The part of a heartbeat that entries share with each other. Agents neither send nor use it. */
import type * as types from "./types.js";

export const noEntryState = {
    lastChanges: {},
    spentTokens: {},
    serverLoads: {},
    prefills: [],
    savedParts: [],
    cacheStores: [],
    serverLimits: [],
    loadStatements: [],
    rollouts: [],
    promptDemands: [],
    suspects: { records: [], trials: [] },
} as const satisfies Partial<types.Heartbeat>;
