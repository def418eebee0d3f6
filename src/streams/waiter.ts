/** Waits for one promise at a time with a deadline and an abort signal. */
import type * as clocks from "../clock/clock.js";

export type WaitResult<Value> =
    | { readonly kind: "value"; readonly value: Value; }
    | { readonly kind: "error"; readonly error: unknown; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "aborted"; };

/** Passed to `abort`, which otherwise creates an exception with a stack trace; that costs more than the wait itself. */
const DISPOSE_REASON = "waiter disposed";

interface PendingWait {
    readonly deadline: number;
    readonly settle: (result: WaitResult<never>) => void;
}

/**
 * Waits for the events of a stream, one after another.
 *
 * A timer or listener per event would dominate the cost of a token, so all waits share one listener and one timer. The
 * timer stays armed while deadlines move into the future and is reset only for an earlier deadline.
 */
export class Waiter implements Disposable {
    private pending: PendingWait | undefined;
    private timer: AbortController | undefined;
    private timerDeadline = Number.POSITIVE_INFINITY;

    constructor(private readonly clock: clocks.Clock, private readonly signal: AbortSignal) {
        signal.addEventListener("abort", this.onAbort);
    }

    /**
     * Never rejects. An aborted signal or a passed deadline (monotonic time in milliseconds) takes precedence over an
     * available value. The previous wait must have settled.
     */
    wait<Value>(promise: Promise<Value>, deadline: number): Promise<WaitResult<Value>> {
        return new Promise(resolve => {
            const settle = (result: WaitResult<Value>) => {
                if (this.pending === pending) {
                    this.pending = undefined;
                    resolve(result);
                }
            };
            const pending: PendingWait = { deadline, settle };
            promise.then(value => settle({ kind: "value", value }), error => settle({ kind: "error", error }));
            if (this.signal.aborted) {
                resolve({ kind: "aborted" });
                return;
            }
            if (deadline <= this.clock.now()) {
                resolve({ kind: "timeout" });
                return;
            }
            this.pending = pending;
            this.arm(deadline);
        });
    }

    [Symbol.dispose](): void {
        this.signal.removeEventListener("abort", this.onAbort);
        this.timer?.abort(DISPOSE_REASON);
    }

    private readonly onAbort = (): void => this.pending?.settle({ kind: "aborted" });

    private arm(deadline: number): void {
        if (deadline >= this.timerDeadline) {
            return;
        }
        this.timer?.abort(DISPOSE_REASON);
        const timer = new AbortController();
        this.timer = timer;
        this.timerDeadline = deadline;
        void this.clock.sleep(deadline - this.clock.now(), timer.signal).then(() => {
            if (this.timer === timer && !timer.signal.aborted) {
                this.timerDeadline = Number.POSITIVE_INFINITY;
                this.onTimer();
            }
        });
    }

    private onTimer(): void {
        if (this.pending === undefined) {
            return;
        }
        if (this.pending.deadline <= this.clock.now()) {
            this.pending.settle({ kind: "timeout" });
            return;
        }
        this.arm(this.pending.deadline);
    }
}
