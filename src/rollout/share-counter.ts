/** Assigns the requests of one entry to the versions of one rollout. Deterministic. */

/** Requests of the new version in a row; enough to fill the slots of one engine. */
const BURST_REQUESTS = 16;
/** Quota beyond this lapses, so that a time without servers of the new version is not made up for by a flood. */
const MAXIMUM_CREDIT = 2 * BURST_REQUESTS;

/**
 * Saves a share of each request as credit and spends the credit in bursts, so that the few servers of the new version
 * also see a high load while the share is small. At any time the requests of the new version are at most the sum of the
 * shares of all requests counted so far.
 */
export class ShareCounter {
    private credit = 0;
    private inBurst = false;

    /** Counts a request and returns true when it goes to the new version. `isServable` is false when no server can. */
    assign(share: number, isServable: boolean): boolean {
        if (share <= 0) {
            this.credit = 0;
            this.inBurst = false;
            return false;
        }
        this.credit = Math.min(MAXIMUM_CREDIT, this.credit + share);
        // A share of 1 needs no saving, and holding back its first requests would only delay the last step.
        this.inBurst = this.credit >= 1 && (this.inBurst || share >= 1 || this.credit >= BURST_REQUESTS);
        if (!this.inBurst || !isServable) {
            return false;
        }
        this.credit -= 1;
        return true;
    }
}
