/** Decides which boot of an engine is current from responses that may arrive late and in any order. */

/** `known`: same boot. `changed`: the first response of a boot. `conflict`: the order of two boots is unknown. */
export type BootVerdict = "known" | "changed" | "conflict" | "ignored";

/**
 * Boot identifiers are random, so only time orders them: a boot is newer than another one when its request was sent
 * after the last response of the other. When the intervals overlap, both are discarded and only responses to requests
 * sent after that moment count.
 */
export class BootTracker {
    private current: string | undefined;
    private lastReceivedAt = Number.NEGATIVE_INFINITY;
    private trustedFrom = Number.NEGATIVE_INFINITY;
    private since = Number.POSITIVE_INFINITY;

    /** Boot whose knowledge counts; undefined when there is none. */
    get boot(): string | undefined {
        return this.current;
    }

    /** Time of the first response of the current boot in milliseconds. */
    get knownSince(): number {
        return this.since;
    }

    /** Takes a response. `requestedAt` is when its request was sent; both times are in milliseconds. */
    observe(boot: string, requestedAt: number, now: number): BootVerdict {
        if (boot === this.current) {
            this.lastReceivedAt = Math.max(this.lastReceivedAt, now);
            return "known";
        }
        if (this.current !== undefined && requestedAt <= this.lastReceivedAt) {
            this.reset(now);
            return "conflict";
        }
        if (requestedAt <= this.trustedFrom) {
            return "ignored";
        }
        this.since = now;
        this.current = boot;
        this.lastReceivedAt = now;
        return "changed";
    }

    /** Discards the boot; only responses to requests sent from now on count. */
    reset(now: number): void {
        this.current = undefined;
        this.trustedFrom = Math.max(this.trustedFrom, now);
    }
}
