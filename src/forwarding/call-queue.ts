/**
 * Queue of calls that wait for a server, or for a condition of their own before they are placed.
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
    /** False while the call waits for a condition of its own, such as shared parts that are being prefilled. */
    readonly waitsForServer?: boolean;
    /** A pass leaves out the call while this is false; always true if absent. */
    readonly isReady?: (now: number) => boolean;
}

export class CallQueue {
    /** In order, apart from the calls that were enqueued during the pass in progress. */
    private calls: QueuedCall[] = [];
    private added: QueuedCall[] = [];
    /** Calls that have left during the pass in progress; undefined between passes. */
    private left: Set<QueuedCall> | undefined;

    get size(): number {
        return this.present().length;
    }

    /** Number of calls for which no server is available. */
    get waitingForServer(): number {
        return this.present().filter(call => call.waitsForServer !== false).length;
    }

    enqueue(call: QueuedCall): void {
        if (this.left === undefined) {
            this.calls.splice(this.positionOf(call), 0, call);
        }
        else {
            this.added.push(call);
        }
    }

    remove(call: QueuedCall): void {
        this.left?.add(call);
        if (this.left === undefined) {
            this.calls = this.calls.filter(queued => queued !== call);
        }
    }

    /** Tries to place each call in order, and removes the calls whose wait has timed out. */
    dispatch(now: number): void {
        if (this.left !== undefined) {
            return;
        }
        const left = new Set<QueuedCall>();
        this.left = left;
        const unplaceable = new Set<string>();
        for (const call of this.calls) {
            if (!left.has(call) && leavesInPass(call, unplaceable, now)) {
                left.add(call);
            }
        }
        this.calls = this.calls.filter(call => !left.has(call));
        this.left = undefined;
        // Calls that were enqueued during this pass go behind those of equal order that were already queued.
        const added = this.added.filter(call => !left.has(call));
        this.added = [];
        added.forEach(call => this.enqueue(call));
    }

    private present(): readonly QueuedCall[] {
        return [...this.calls, ...this.added].filter(call => this.left?.has(call) !== true);
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

/** Tries one call in a pass. `unplaceable` are the requirements of calls for which the pass has found no server. */
function leavesInPass(call: QueuedCall, unplaceable: Set<string>, now: number): boolean {
    if (call.isReady?.(now) === false) {
        return false;
    }
    const isUnplaceable = call.requirements !== undefined && unplaceable.has(call.requirements);
    if (!isUnplaceable && leavesQueue(call, () => call.tryPlace())) {
        return true;
    }
    if (call.requirements !== undefined) {
        unplaceable.add(call.requirements);
    }
    if (now < call.timeoutAt) {
        return false;
    }
    leavesQueue(call, () => call.onTimeout());
    return true;
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
