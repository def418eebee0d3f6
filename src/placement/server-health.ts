/** Passive health checking: the health of each server as seen from the outcomes of calls. */

/** Time in milliseconds for which a server is avoided after a first failed connection; doubles with each further one. */
const FIRST_EXCLUSION_MS = 250;
const MAXIMUM_EXCLUSION_MS = 2000;
/** Weight of a new outcome in the failure share. */
const OUTCOME_WEIGHT = 0.15;
/** Half-life in milliseconds of the failure share; the decay lets a failing server be tried again. */
const FAILURE_SHARE_HALF_LIFE_MS = 4000;
/** Time in milliseconds for which a server that is not listed is remembered, since its record may come back. */
const UNLISTED_RETENTION_MS = 30_000;

interface HealthRecord {
    /** Consecutive failed connections. */
    readonly failures: number;
    readonly suspectedUntil: number;
    readonly failureShare: number;
    readonly updatedAt: number;
}

const HEALTHY: HealthRecord = {
    failures: 0,
    suspectedUntil: Number.NEGATIVE_INFINITY,
    failureShare: 0,
    updatedAt: Number.NEGATIVE_INFINITY,
};

export class ServerHealth {
    private readonly records = new Map<string, HealthRecord>();

    /** The server is avoided after failed connections. */
    isSuspected(server: string, now: number): boolean {
        return now < (this.records.get(server)?.suspectedUntil ?? Number.NEGATIVE_INFINITY);
    }

    /** Decayed moving average of failed calls, from 0 to 1. */
    failureShare(server: string, now: number): number {
        const record = this.records.get(server) ?? HEALTHY;
        return record.failureShare === 0
            ? 0
            : record.failureShare * 2 ** (-(now - record.updatedAt) / FAILURE_SHARE_HALF_LIFE_MS);
    }

    /** Records a response. Even an error response shows that the server is reachable and ends its exclusion. */
    recordResponse(server: string, isFailure: boolean, now: number): void {
        const failureShare = this.nextFailureShare(server, isFailure, now);
        this.records.set(server, { ...HEALTHY, failureShare, updatedAt: now });
    }

    /**
     * Records a refused or reset connection, or a timeout. Returns the time in milliseconds for which the server is
     * avoided.
     */
    recordUnreachable(server: string, now: number): number {
        const record = this.records.get(server) ?? HEALTHY;
        if (now < record.suspectedUntil) {
            // Calls that were in flight when the server failed must not prolong the exclusion.
            return record.suspectedUntil - now;
        }
        const failures = record.failures + 1;
        const exclusionMs = Math.min(MAXIMUM_EXCLUSION_MS, FIRST_EXCLUSION_MS * 2 ** (failures - 1));
        const failureShare = this.nextFailureShare(server, true, now);
        this.records.set(server, { failures, suspectedUntil: now + exclusionMs, failureShare, updatedAt: now });
        return exclusionMs;
    }

    /** Drops the records of servers that are not listed and were not called for a time. */
    retain(servers: ReadonlySet<string>, now: number): void {
        for (const [server, { updatedAt }] of this.records) {
            if (!servers.has(server) && now - updatedAt > UNLISTED_RETENTION_MS) {
                this.records.delete(server);
            }
        }
    }

    private nextFailureShare(server: string, isFailure: boolean, now: number): number {
        const share = this.failureShare(server, now);
        return share + ((isFailure ? 1 : 0) - share) * OUTCOME_WEIGHT;
    }
}
