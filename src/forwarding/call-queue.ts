/**
 * Queue of calls that wait for a server, or for a condition of their own before they are placed.
 *
 * Calls are placed by priority, then by the times until which a start is of use, or else by arrival time. A call leaves
 * the queue when a server is available for it, when its wait times out, or when waiting is known to be futile.
 */
import * as callTimes from "../scheduling/call-times.js";
import type * as expectedWaits from "../scheduling/expected-wait.js";

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
    /** Orders the calls of one priority; without them, they are placed in the order of their arrival. */
    readonly startTimes?: callTimes.StartTimes | undefined;
    /** Whether waiting is futile behind the calls that wait for a server before this one. */
    readonly isFutile?: (ahead: expectedWaits.QueueAhead, now: number) => boolean;
    /** False while the call waits for a condition of its own, such as shared parts that are being prefilled. */
    readonly waitsForServer?: boolean;
    /** A pass leaves out the call while this is false; always true if absent. */
    readonly isReady?: (now: number) => boolean;
}

/** State of a pass over the queue. */
interface Pass {
    readonly now: number;
    /** Requirements of calls for which the pass has found no server. */
    readonly unplaceable: Set<string>;
    /** Calls that go on waiting for a server: all, and those of the last priority. */
    kept: number;
    keptOfPriority: number;
    priority: number | undefined;
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

    /** Whether a call waits for a server that goes before this one and has the same requirements. */
    isBehindAlike(call: QueuedCall, now: number): boolean {
        return this.present().some(queued => {
            return queued.waitsForServer !== false && queued.requirements === call.requirements
                && compare(queued, call, now) < 0;
        });
    }

    enqueue(call: QueuedCall, now = call.arrivedAt): void {
        if (this.left === undefined) {
            this.calls.splice(this.positionOf(call, now), 0, call);
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
        // Calls that have become late go behind the others of their priority.
        this.calls.sort((first, second) => compare(first, second, now));
        const pass: Pass = { now, unplaceable: new Set(), kept: 0, keptOfPriority: 0, priority: undefined };
        for (const call of this.calls) {
            if (!left.has(call) && leavesInPass(call, pass)) {
                left.add(call);
            }
        }
        this.calls = this.calls.filter(call => !left.has(call));
        this.left = undefined;
        // Calls that were enqueued during this pass go behind those of equal order that were already queued.
        const added = this.added.filter(call => !left.has(call));
        this.added = [];
        added.forEach(call => this.enqueue(call, now));
    }

    private present(): readonly QueuedCall[] {
        return [...this.calls, ...this.added].filter(call => this.left?.has(call) !== true);
    }

    /** Position behind all calls that go before this one or are of equal order, by binary search. */
    private positionOf(call: QueuedCall, now: number): number {
        let low = 0;
        let high = this.calls.length;
        while (low < high) {
            const middle = Math.floor((low + high) / 2);
            if (compare(call, this.calls[middle]!, now) < 0) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }
}

/** Tries one call in a pass. */
function leavesInPass(call: QueuedCall, pass: Pass): boolean {
    if (call.isReady?.(pass.now) === false) {
        return false;
    }
    const isUnplaceable = call.requirements !== undefined && pass.unplaceable.has(call.requirements);
    if (!isUnplaceable && leavesQueue(call, () => call.tryPlace())) {
        return true;
    }
    if (call.requirements !== undefined) {
        pass.unplaceable.add(call.requirements);
    }
    if (pass.now >= call.timeoutAt || call.isFutile?.(aheadOf(call, pass), pass.now) === true) {
        leavesQueue(call, () => call.onTimeout());
        return true;
    }
    if (call.waitsForServer !== false) {
        pass.keptOfPriority = (call.priority === pass.priority ? pass.keptOfPriority : 0) + 1;
        pass.priority = call.priority;
        pass.kept++;
    }
    return false;
}

function aheadOf(call: QueuedCall, { priority, kept, keptOfPriority }: Pass): expectedWaits.QueueAhead {
    const sameRank = call.priority === priority ? keptOfPriority : 0;
    return { sameRank, moreUrgent: kept - sameRank };
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

function compare(left: QueuedCall, right: QueuedCall, now: number): number {
    if (left.priority !== right.priority) {
        return left.priority - right.priority;
    }
    const starts = left.startTimes === undefined || right.startTimes === undefined
        ? 0
        : callTimes.compareStarts(left.startTimes, right.startTimes, now);
    return starts === 0 ? left.arrivedAt - right.arrivedAt : starts;
}
