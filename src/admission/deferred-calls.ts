/**
 * Calls for admissions that wait for a renewal, since the present reservations don't cover their demand.
 *
 * In order of arrival; a call leaves the list with its reply.
 */
import type * as acquireRefusals from "./acquire-refusal.js";
import * as constants from "./constants.js";

interface DeferredCall extends acquireRefusals.AcquireCall {
    readonly arrivedAt: number;
}

export class DeferredCalls {
    private calls: readonly DeferredCall[] = [];

    get isEmpty(): boolean {
        return this.calls.length === 0;
    }

    add(call: acquireRefusals.AcquireCall, now: number): void {
        this.calls = [...this.calls, { ...call, arrivedAt: now }];
    }

    /** Admissions that the calls ask for, by customer. */
    demand(): ReadonlyMap<string, number> {
        const demand = new Map<string, number>();
        for (const { customer, count } of this.calls.flatMap(call => call.demands)) {
            demand.set(customer, (demand.get(customer) ?? 0) + count);
        }
        return demand;
    }

    removeAll(): readonly acquireRefusals.AcquireCall[] {
        const removed = this.calls;
        this.calls = [];
        return removed;
    }

    /** Removes the calls that have waited longer than an entry should wait for a renewal. */
    removeLate(now: number): readonly acquireRefusals.AcquireCall[] {
        const isLate = (call: DeferredCall) => now >= call.arrivedAt + constants.DEFERRAL_LIMIT_MS;
        const late = this.calls.filter(isLate);
        this.calls = this.calls.filter(call => !isLate(call));
        return late;
    }

    /** Passes each call to `serve` and keeps those that it does not answer. */
    serve<Reply>(serve: (call: acquireRefusals.AcquireCall) => Reply | undefined): Reply[] {
        const replies: Reply[] = [];
        const remaining: DeferredCall[] = [];
        for (const call of this.calls) {
            const reply = serve(call);
            if (reply === undefined) {
                remaining.push(call);
            }
            else {
                replies.push(reply);
            }
        }
        this.calls = remaining;
        return replies;
    }
}
