/**
 * Calls that wait because no server can take them now.
 *
 * The most urgent call goes first; within a priority the one that arrived first. A call leaves when a server can take
 * it, or when waiting longer can't help it.
 */

export interface Waiter {
    readonly priority: number;
    readonly arrivedAt: number;
    /** Tries to place the call; false keeps it waiting. */
    readonly tryPlace: () => boolean;
    readonly giveUp: () => void;
    readonly giveUpAt: number;
}

export class WaitingRoom {
    private waiters: Waiter[] = [];

    get size(): number {
        return this.waiters.length;
    }

    enter(waiter: Waiter): void {
        const index = this.waiters.findIndex(other => isBefore(waiter, other));
        this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
    }

    leave(waiter: Waiter): void {
        this.waiters = this.waiters.filter(other => other !== waiter);
    }

    /** Places what can be placed, in order, and gives up what waited in vain. */
    step(now: number): void {
        const waiting = this.waiters;
        this.waiters = [];
        const kept: Waiter[] = [];
        for (const waiter of waiting) {
            if (waiter.tryPlace()) {
                continue;
            }
            if (now >= waiter.giveUpAt) {
                waiter.giveUp();
                continue;
            }
            kept.push(waiter);
        }
        // Calls that entered during the round stand behind those that were already there, in their own order.
        const entered = this.waiters;
        this.waiters = kept;
        entered.forEach(waiter => this.enter(waiter));
    }
}

function isBefore(left: Waiter, right: Waiter): boolean {
    return left.priority < right.priority || left.priority === right.priority && left.arrivedAt < right.arrivedAt;
}
