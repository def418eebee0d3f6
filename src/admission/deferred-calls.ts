/**
 * Acquire calls that wait for a renewal because the current reservations don't cover their demand.
 *
 * Calls are kept in order of arrival until the primary replies to them.
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

    /** Number of requested admissions by customer. */
    demand(): ReadonlyMap<string, number> {
        const demand = new Map<string, number>();
        for (const { customer, count } of this.calls.flatMap(call => call.demands)) {
            demand.set(customer, (demand.get(customer) ?? 0) + count);
        }
        return demand;
    }

    /** Removes and returns all calls. */
    removeAll(): readonly acquireRefusals.AcquireCall[] {
        const removed = this.calls;
        this.calls = [];
        return removed;
    }

    /** Removes and returns the calls that have waited for the maximum deferral. */
    removeOverdue(now: number): readonly acquireRefusals.AcquireCall[] {
        const isOverdue = (call: DeferredCall) => now >= call.arrivedAt + constants.MAXIMUM_DEFERRAL_MS;
        const overdue = this.calls.filter(isOverdue);
        this.calls = this.calls.filter(call => !isOverdue(call));
        return overdue;
    }

    /** Passes each call to `serve`, returns the replies and keeps the calls without one. */
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
