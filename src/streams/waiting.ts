/** Waits for a promise with a time limit and an abort signal. */
import type * as clock from "../clock/clock.js";

export type Waited<Value> =
    | { readonly kind: "value"; readonly value: Value; }
    | { readonly kind: "error"; readonly error: unknown; }
    | { readonly kind: "timeout"; }
    | { readonly kind: "aborted"; };

/** Never rejects. An aborted signal or a passed limit wins over a value that is available. */
export function wait<Value>(
    promise: Promise<Value>,
    durationMs: number,
    time: clock.Clock,
    signal: AbortSignal,
): Promise<Waited<Value>> {
    return new Promise(resolve => {
        const timer = new AbortController();
        const settle = (result: Waited<Value>) => {
            signal.removeEventListener("abort", abort);
            timer.abort();
            resolve(result);
        };
        const abort = () => settle({ kind: "aborted" });
        promise.then(value => settle({ kind: "value", value }), error => settle({ kind: "error", error }));
        if (signal.aborted) {
            abort();
            return;
        }
        if (durationMs <= 0) {
            settle({ kind: "timeout" });
            return;
        }
        signal.addEventListener("abort", abort);
        void time.sleep(durationMs, timer.signal).then(() => settle({ kind: "timeout" }));
    });
}
