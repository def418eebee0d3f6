/** Bytes of a memory budget that belong to one piece of work. */
import type * as types from "./types.js";

/** The part of the budget that a reservation works with. */
export interface ReservationLedger {
    tryTake(owner: string, purpose: types.Purpose, bytes: number): boolean;
    take(owner: string, purpose: types.Purpose, bytes: number): void;
    giveBack(owner: string, purpose: types.Purpose, bytes: number): void;
}

export class Reservation implements Disposable {
    private heldBytes: number;
    private isDisposed = false;

    /** `bytes` have been taken from the ledger already. */
    constructor(
        private readonly ledger: ReservationLedger,
        readonly owner: string,
        readonly purpose: types.Purpose,
        bytes: number,
    ) {
        this.heldBytes = bytes;
    }

    get bytes(): number {
        return this.heldBytes;
    }

    /** Takes more bytes if the budget allows it. */
    tryGrow(bytes: number): boolean {
        if (this.isDisposed || !this.ledger.tryTake(this.owner, this.purpose, bytes)) {
            return false;
        }
        this.heldBytes += bytes;
        return true;
    }

    /** Counts bytes that are already held, such as a chunk that has arrived, even if they exceed the budget. */
    grow(bytes: number): void {
        if (!this.isDisposed) {
            this.ledger.take(this.owner, this.purpose, bytes);
            this.heldBytes += bytes;
        }
    }

    /** Takes over the bytes of another reservation of the same owner and purpose. */
    absorb(other: Reservation): void {
        const { heldBytes } = other;
        other.heldBytes = 0;
        other.isDisposed = true;
        this.heldBytes += heldBytes;
        if (this.isDisposed) {
            this.shrink(heldBytes);
        }
    }

    /** Gives some of the bytes back; at most those that are held. */
    shrink(bytes: number): void {
        const returned = Math.min(bytes, this.heldBytes);
        if (returned > 0) {
            this.heldBytes -= returned;
            this.ledger.giveBack(this.owner, this.purpose, returned);
        }
    }

    /** Gives all bytes back. Later calls have no effect. */
    [Symbol.dispose](): void {
        this.isDisposed = true;
        this.shrink(this.heldBytes);
    }
}
