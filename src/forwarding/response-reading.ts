/** Reading of one response of a backend server, which stops while the caller reads slowly. */
import type * as clocks from "../clock/clock.js";
import type * as serverRequests from "./server-request.js";

/** Time in milliseconds for which a server that has to wait may close its connection without being at fault. */
const PATIENCE_MS = 1000;

export class ResponseReading {
    private pausedAt: number | undefined;
    private endedPausesMs = 0;

    constructor(
        private readonly clock: Pick<clocks.Clock, "now">,
        private readonly request: () => Pick<serverRequests.InFlightRequest, "pause" | "resume"> | undefined,
    ) {}

    get isPaused(): boolean {
        return this.pausedAt !== undefined;
    }

    pause(): void {
        if (!this.isPaused) {
            this.pausedAt = this.clock.now();
            this.request()?.pause();
        }
    }

    resume(): void {
        if (this.isPaused) {
            this.endedPausesMs = this.pausedMs(this.clock.now());
            this.pausedAt = undefined;
            this.request()?.resume();
        }
    }

    /** Time in milliseconds up to `now` in which the response was not read. */
    pausedMs(now: number): number {
        return this.endedPausesMs + (this.pausedAt === undefined ? 0 : now - this.pausedAt);
    }

    /** The server had to wait so long for the caller that the end of its connection is not its fault. */
    hasKeptServerWaiting(now: number): boolean {
        return this.pausedMs(now) >= PATIENCE_MS;
    }
}
