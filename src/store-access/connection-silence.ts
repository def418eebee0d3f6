/** Last time at which open connections to the store were found to be silent, by this process or by a peer. */

/** Processes that find the same silence do so within this time in milliseconds of each other. */
const SAME_SILENCE_MS = 4000;
/** Time in milliseconds for which peers are told. */
const TOLD_FOR_MS = 3000;

export class ConnectionSilence {
    private foundAt = Number.NEGATIVE_INFINITY;

    /** Records a finding. Returns whether it is a new one, after which all connections are to be renewed. */
    record(foundAt: number): boolean {
        const isNew = foundAt - this.foundAt > SAME_SILENCE_MS;
        if (isNew) {
            this.foundAt = foundAt;
        }
        return isNew;
    }

    /** Age in milliseconds of the last finding, for heartbeats; undefined if it is too old to be told. */
    ageMs(now: number): number | undefined {
        const age = now - this.foundAt;
        return age <= TOLD_FOR_MS ? age : undefined;
    }
}
