/** Tracks which boot of an engine is current from responses that may arrive late and out of order. */

/**
 * `known`: the response is of the current boot. `changed`: it is the first response of a new boot. `conflict`: it is
 * unknown which of two boots is newer. `ignored`: its request was sent before the last conflict or reset.
 */
export type BootVerdict = "known" | "changed" | "conflict" | "ignored";

/**
 * Boot identifiers are random, so they are ordered by time: a boot is newer than the current one when the request was
 * sent after the last response of the current boot. When the two intervals overlap, both boots are discarded, and only
 * responses to requests sent after that moment are accepted.
 */
export class BootTracker {
    private currentBoot: string | undefined;
    private lastReceivedAt = Number.NEGATIVE_INFINITY;
    private ignoredUntil = Number.NEGATIVE_INFINITY;
    private firstReceivedAt = Number.POSITIVE_INFINITY;

    /** Current boot; undefined when it is unknown. */
    get boot(): string | undefined {
        return this.currentBoot;
    }

    /** Monotonic time of the first response of the current boot in milliseconds. */
    get firstResponseAt(): number {
        return this.firstReceivedAt;
    }

    /** Records a response. `requestedAt` is the time at which its request was sent; both times are in milliseconds. */
    observe(boot: string, requestedAt: number, now: number): BootVerdict {
        if (boot === this.currentBoot) {
            this.lastReceivedAt = Math.max(this.lastReceivedAt, now);
            return "known";
        }
        if (this.currentBoot !== undefined && requestedAt <= this.lastReceivedAt) {
            this.reset(now);
            return "conflict";
        }
        if (requestedAt <= this.ignoredUntil) {
            return "ignored";
        }
        this.firstReceivedAt = now;
        this.currentBoot = boot;
        this.lastReceivedAt = now;
        return "changed";
    }

    /** Discards the current boot and ignores responses to requests sent at or before `now`. */
    reset(now: number): void {
        this.currentBoot = undefined;
        this.ignoredUntil = Math.max(this.ignoredUntil, now);
    }
}
