/** What the outcomes of calls say about each server. */

/** Time in milliseconds out of use after the first failed connection, doubled with each further one. */
const FIRST_SUSPICION_MS = 250;
const LONGEST_SUSPICION_MS = 2000;
/** Weight of a new outcome in the share of failures. */
const OUTCOME_WEIGHT = 0.15;
/** Time in milliseconds in which half of the share is forgotten, so that a server is tried again. */
const HALF_LIFE_MS = 4000;

interface Record {
    readonly failures: number;
    readonly suspectedUntil: number;
    readonly failureShare: number;
    readonly updatedAt: number;
}

const CLEAN: Record = {
    failures: 0,
    suspectedUntil: Number.NEGATIVE_INFINITY,
    failureShare: 0,
    updatedAt: Number.NEGATIVE_INFINITY,
};

export class ServerTrust {
    private readonly records = new Map<string, Record>();

    isSuspected(server: string, now: number): boolean {
        return now < (this.records.get(server)?.suspectedUntil ?? Number.NEGATIVE_INFINITY);
    }

    failureShare(server: string, now: number): number {
        const record = this.records.get(server) ?? CLEAN;
        return record.failureShare === 0 ? 0 : record.failureShare * 2 ** (-(now - record.updatedAt) / HALF_LIFE_MS);
    }

    /** The server answered; an answer that says failure still shows that it is reachable. */
    answered(server: string, isFailure: boolean, now: number): void {
        const failureShare = this.nextShare(server, isFailure, now);
        this.records.set(server, { ...CLEAN, failureShare, updatedAt: now });
    }

    /** The connection was refused or reset, or the server stayed silent. Returns the time out of use in milliseconds. */
    unreachable(server: string, now: number): number {
        const record = this.records.get(server) ?? CLEAN;
        if (now < record.suspectedUntil) {
            // Calls that were under way when the server failed say nothing new.
            return record.suspectedUntil - now;
        }
        const failures = record.failures + 1;
        const pauseMs = Math.min(LONGEST_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** (failures - 1));
        const failureShare = this.nextShare(server, true, now);
        this.records.set(server, { failures, suspectedUntil: now + pauseMs, failureShare, updatedAt: now });
        return pauseMs;
    }

    /** Forgets servers that are no longer listed. */
    retain(servers: ReadonlySet<string>): void {
        for (const server of this.records.keys()) {
            if (!servers.has(server)) {
                this.records.delete(server);
            }
        }
    }

    private nextShare(server: string, isFailure: boolean, now: number): number {
        const share = this.failureShare(server, now);
        return share + ((isFailure ? 1 : 0) - share) * OUTCOME_WEIGHT;
    }
}
