/**
 * Queue of calls for which no server is available.
 *
 * Calls are placed by priority, then by arrival time. A call leaves the queue when a server is available for it or when
 * its wait times out.
 */

export interface QueuedCall {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedAt: number;
    /**
     * Calls with the same requirements can be placed only under the same conditions, so that a pass tries one of them.
     * Undefined for a call whose requirements are its own, such as one that has already tried some servers.
     */
    readonly requirements: string | undefined;
    /** Tries to place the call; false keeps it waiting. */
    readonly tryPlace: () => boolean;
    /** Called when the call leaves the queue without a server. */
    readonly onTimeout: () => void;
    /** Called when placing the call threw an error, with which it leaves the queue. */
    readonly onError: (error: unknown) => void;
    readonly timeoutAt: number;
}

export class CallQueue {
    private calls: QueuedCall[] = [];

    get size(): number {
        return this.calls.length;
    }

    enqueue(call: QueuedCall): void {
        this.calls.splice(this.positionOf(call), 0, call);
    }

    remove(call: QueuedCall): void {
        const index = this.calls.indexOf(call);
        if (index >= 0) {
            this.calls.splice(index, 1);
        }
    }

    /** Tries to place each call in order, and removes the calls whose wait has timed out. */
    dispatch(now: number): void {
        const unplaceable = new Set<string>();
        const pending = this.calls;
        this.calls = [];
        const remaining: QueuedCall[] = [];
        for (const call of pending) {
            const isUnplaceable = call.requirements !== undefined && unplaceable.has(call.requirements);
            if (!isUnplaceable && leavesQueue(call, call.tryPlace)) {
                continue;
            }
            if (call.requirements !== undefined) {
                unplaceable.add(call.requirements);
            }
            if (now < call.timeoutAt) {
                remaining.push(call);
                continue;
            }
            leavesQueue(call, call.onTimeout);
        }
        // Calls that were enqueued during this pass go behind those of equal order that were already queued.
        const added = this.calls;
        this.calls = remaining;
        added.forEach(call => this.enqueue(call));
    }

    /** Position behind all calls that go before this one or are of equal order, by binary search. */
    private positionOf(call: QueuedCall): number {
        let low = 0;
        let high = this.calls.length;
        while (low < high) {
            const middle = Math.floor((low + high) / 2);
            if (isBefore(call, this.calls[middle]!)) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}

/** An error ends the call that it belongs to, and not the pass over the others. */
function leavesQueue(call: QueuedCall, action: () => boolean | void): boolean {
    try {
        return action() === true;
    }
    catch (error) {
        call.onError(error);
        return true;
    }
}

function isBefore(left: QueuedCall, right: QueuedCall): boolean {
    return left.priority < right.priority || left.priority === right.priority && left.arrivedAt < right.arrivedAt;
}
