/** Splits the requests of one entry between the versions of one rollout. Deterministic. */

/** Consecutive requests to the new version in one burst; enough to fill the slots of one engine. */
const BURST_REQUESTS = 16;
/** Credit limit; prevents a surge of requests to the new version after a period without servers for it. */
const MAXIMUM_CREDIT = 2 * BURST_REQUESTS;

/**
 * Adds the share to the credit with each request and spends the credit in bursts, so that the few servers of the new
 * version also reach a high load while the share is small. The number of requests to the new version never exceeds the
 * sum of the shares of all requests so far.
 */
export class TrafficSplitter {
    private credit = 0;
    private inBurst = false;

    /** Returns true if the request goes to the new version. `isServable` tells whether a server has it loaded. */
    assign(share: number, isServable: boolean): boolean {
        if (share <= 0) {
            this.credit = 0;
            this.inBurst = false;
            return false;
        }
        this.credit = Math.min(MAXIMUM_CREDIT, this.credit + share);
        // A share of 1 needs no bursts, and accumulating credit first would only delay the last step.
        this.inBurst = this.credit >= 1 && (this.inBurst || share >= 1 || this.credit >= BURST_REQUESTS);
        if (!this.inBurst || !isServable) {
            return false;
        }
        this.credit -= 1;
        return true;
    }
}
