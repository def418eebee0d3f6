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
    /** Tries to place the call; false keeps it waiting. */
    readonly tryPlace: () => boolean;
    /** Called when the call leaves the queue without a server. */
    readonly onTimeout: () => void;
    readonly timeoutAt: number;
}

export class CallQueue {
    private calls: QueuedCall[] = [];

    get size(): number {
        return this.calls.length;
    }

    enqueue(call: QueuedCall): void {
        const index = this.calls.findIndex(other => isBefore(call, other));
        this.calls.splice(index < 0 ? this.calls.length : index, 0, call);
    }

    remove(call: QueuedCall): void {
        this.calls = this.calls.filter(other => other !== call);
    }

    /** Tries to place each call in order, and removes the calls whose wait has timed out. */
    dispatch(now: number): void {
        const pending = this.calls;
        this.calls = [];
        const remaining: QueuedCall[] = [];
        for (const call of pending) {
            if (call.tryPlace()) {
                continue;
            }
            if (now >= call.timeoutAt) {
                call.onTimeout();
                continue;
            }
            remaining.push(call);
        }
        // Calls that were enqueued during this pass go behind those of equal order that were already queued.
        const added = this.calls;
        this.calls = remaining;
        added.forEach(call => this.enqueue(call));
    }
}

function isBefore(left: QueuedCall, right: QueuedCall): boolean {
    return left.priority < right.priority || left.priority === right.priority && left.arrivedAt < right.arrivedAt;
}
