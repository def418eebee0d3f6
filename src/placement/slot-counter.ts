/** Counts the requests to each server in the slot of time in which the last one was sent. */

export interface SlotCount {
    /** Number of the slot since the start of the clock. */
    readonly slot: number;
    readonly requests: number;
}

export class SlotCounter {
    private readonly counts = new Map<string, SlotCount>();

    /** `slotMs` is the length of a slot in milliseconds; if it changes, the count of the present slot is lost. */
    constructor(private readonly slotMs: () => number) {}

    at(server: string, now: number): SlotCount {
        const slot = Math.floor(now / this.slotMs());
        const last = this.counts.get(server);
        return last?.slot === slot ? last : { slot, requests: 0 };
    }

    record(server: string, now: number): void {
        const { slot, requests } = this.at(server, now);
        this.counts.set(server, { slot, requests: requests + 1 });
    }

    forget(server: string): void {
        this.counts.delete(server);
    }

    retain(isKept: (server: string) => boolean): void {
        for (const server of this.counts.keys()) {
            if (!isKept(server)) {
                this.counts.delete(server);
            }
        }
    }
}
