/** Bounds of the deployment that the rig plays; the processes get the same ones in their settings. */
export const BOUNDS = {
    seedLagS: 3,
    addrReuseS: 2,
    contactMs: 3000,
    ackMs: 4000,
    catchUpS: 4,
    drainMs: 2000,
    graceS: 8,
    lossSlackMs: 200,
    configApplyMs: 2000,
    rollbackSlackMs: 250,
    skewMaxMs: 5000,
    revokeStrict: false,
    revokeMs: 5000,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    retrySlack: 56,
    quotaWindowS: 8,
    quotaOvershoot: 0.1,
    quotaSlack: 72_000,
    exposureShare: 0.1,
    exposureSlack: 50,
    rollbackMs: 5000,
    recoveryS: 12,
    transitMs: 120,
    reuseWindowS: 10,
    fencingEnforced: false,
    leaseMs: 3000,
    thawMs: 300,
    versionMs: 8000,
    versionAllMs: 11_000,
} as const;

/** Factor on `rollbackSlackMs` for a machine that was slowed down. */
export const SLOWED_ROLLBACK_FACTOR = 8;
/** Time in milliseconds after the deadline of a call within which the response is still in time. */
export const TIMEOUT_SLACK_MS = 500;
/** Interval in milliseconds at which the workers write their records. */
export const HEARTBEAT_MS = 1200;
