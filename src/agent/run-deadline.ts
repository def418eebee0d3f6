/** Aborts a run at its deadline or when its caller cancels it. */
import * as failures from "../core/failure.js";

/** Shared abort reason; without one, each abort would create an exception with a stack trace. */
const STOPPED = new failures.FailureError({ kind: "engine-cancelled", detail: "the run was stopped" });

export class RunDeadline implements Disposable {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;
    private expired = false;

    /** `remainingMs` is the time to the deadline in milliseconds. */
    constructor(private readonly parent: AbortSignal, remainingMs: number) {
        this.timer = setTimeout(this.expire, Math.max(0, remainingMs));
        parent.addEventListener("abort", this.stop);
        if (parent.aborted) {
            this.stop();
        }
    }

    /** Unlike the signal of the RPC call, it is not aborted once the run has ended. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** True if the deadline aborted the run. */
    get isExpired(): boolean {
        return this.expired;
    }

    [Symbol.dispose](): void {
        clearTimeout(this.timer);
        this.parent.removeEventListener("abort", this.stop);
    }

    private readonly expire = (): void => {
        this.expired = !this.controller.signal.aborted;
        this.stop();
    };

    private readonly stop = (): void => this.controller.abort(STOPPED);
}
