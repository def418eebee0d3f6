/** Ends a run at its deadline or when its caller gives it up. */
import * as failures from "../core/failure.js";

/** A constant reason; without one each abort creates an exception with a stack trace. */
const STOPPED = new failures.FailureError({ kind: "engine-cancelled", detail: "the run was stopped" });

export class RunLimit implements Disposable {
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

    /** Unlike the signal of the call, it is not aborted after the end of the run. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** The deadline ended the run. */
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
