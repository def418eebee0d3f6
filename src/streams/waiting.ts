/** Waits of one attempt: one promise at a time, with a timeout and an abort signal. */
import type * as clock from "../clock/clock.js";

export type Waited<Value> =
    | { readonly kind: "value"; readonly value: Value; }
    | { readonly kind: "error"; readonly error: unknown; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "aborted"; };

/** Without a reason, `abort` creates an exception with a stack trace, which costs more than the wait itself. */
const DISPOSED = "waiter disposed";

interface Pending {
    readonly limit: number;
    readonly settle: (result: Waited<never>) => void;
}

/**
 * Waits for the events of a stream, one after another.
 *
 * A timer or a listener per event would dominate the cost of a token. One listener serves all waits, and one timer: it
 * stays armed while the limits move into the future and is set again only when a limit is earlier.
 */
export class Waiter implements Disposable {
    private pending: Pending | undefined;
    private timer: AbortController | undefined;
    private timerAt = Number.POSITIVE_INFINITY;

    constructor(private readonly time: clock.Clock, private readonly signal: AbortSignal) {
        signal.addEventListener("abort", this.abort);
    }

    /**
     * Never rejects. An aborted signal or a passed limit (monotonic time in milliseconds) wins over a value that is
     * available. The wait before must have settled.
     */
    wait<Value>(promise: Promise<Value>, limit: number): Promise<Waited<Value>> {
        return new Promise(resolve => {
            const settle = (result: Waited<Value>) => {
                if (this.pending === pending) {
                    this.pending = undefined;
                    resolve(result);
                }
            };
            const pending: Pending = { limit, settle };
            promise.then(value => settle({ kind: "value", value }), error => settle({ kind: "error", error }));
            if (this.signal.aborted) {
                resolve({ kind: "aborted" });
                return;
            }
            if (limit <= this.time.now()) {
                resolve({ kind: "timeout" });
                return;
            }
            this.pending = pending;
            this.arm(limit);
        });
    }

    [Symbol.dispose](): void {
        this.signal.removeEventListener("abort", this.abort);
        this.timer?.abort(DISPOSED);
    }

    private readonly abort = (): void => this.pending?.settle({ kind: "aborted" });

    private arm(limit: number): void {
        if (limit >= this.timerAt) {
            return;
        }
        this.timer?.abort(DISPOSED);
        const timer = new AbortController();
        this.timer = timer;
        this.timerAt = limit;
        void this.time.sleep(limit - this.time.now(), timer.signal).then(() => {
            if (this.timer === timer && !timer.signal.aborted) {
                this.timerAt = Number.POSITIVE_INFINITY;
                this.expire();
            }
        });
    }

    private expire(): void {
        if (this.pending === undefined) {
            return;
        }
        if (this.pending.limit <= this.time.now()) {
            this.pending.settle({ kind: "timeout" });
            return;
        }
        this.arm(this.pending.limit);
    }
}
