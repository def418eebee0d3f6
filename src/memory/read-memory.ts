/**
 * Memory for the answers that a process reads from the store, its peers and backend servers. Small answers are read at
 * once; large ones as soon as the budget has room for all that their reading holds.
 */
import type * as budgets from "./budget.js";
import type * as reservations from "./reservation.js";

/**
 * Bytes that reading a body of one byte holds at its peak: the bytes and the chunks they arrived in, the text, and the
 * value, the last two of up to two bytes for each character.
 */
const PEAK_FACTOR = 5;
/** Size in bytes of a body up to which it is read in any case. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Size in bytes of a body that is read even if nothing is free, one at a time; enough for a page of the store. */
const GUARANTEED_BODY_BYTES = 1536 * 1024;

/** `wait` resolves to whether there is room now. */
export type Coverage =
    | { readonly kind: "granted"; }
    | { readonly kind: "refused"; }
    | { readonly kind: "wait"; readonly isGranted: Promise<boolean>; };

const GRANTED: Coverage = { kind: "granted" };
const REFUSED: Coverage = { kind: "refused" };

export class ReadMemory {
    /** The answer that is read although nothing is free. */
    private guaranteed: ReadReservation | undefined;
    /** A partly read answer that waits for more; further ones give way, since they could block each other. */
    private partial: ReadReservation | undefined;

    constructor(readonly budget: budgets.MemoryBudget) {}

    /** Begins to count one answer; `owner` says what is asked. */
    begin(owner: string): ReadReservation {
        return new ReadReservation(this, owner);
    }

    /** For reservations only. Whether the answer may be read although nothing is free. */
    tryGuarantee(reservation: ReadReservation): boolean {
        this.guaranteed ??= reservation;
        return this.guaranteed === reservation;
    }

    /** For reservations only. Whether the partly read answer may wait. */
    tryWaitPartly(reservation: ReadReservation): boolean {
        this.partial ??= reservation;
        return this.partial === reservation;
    }

    /** For reservations only. */
    endPartialWait(reservation: ReadReservation): void {
        this.partial = this.partial === reservation ? undefined : this.partial;
    }

    /** For reservations only. */
    end(reservation: ReadReservation): void {
        this.endPartialWait(reservation);
        this.guaranteed = this.guaranteed === reservation ? undefined : this.guaranteed;
    }
}

/** What the reading of one answer holds. */
export class ReadReservation implements Disposable {
    private readonly reservations: reservations.Reservation[];
    private coveredBytes = 0;
    private isDisposed = false;

    constructor(private readonly memory: ReadMemory, private readonly owner: string) {
        this.reservations = [memory.budget.hold(owner, "control", 0)];
    }

    /** Makes room for reading a body of this size, within `timeoutMs` milliseconds. */
    cover(bodyBytes: number, timeoutMs: number): Coverage {
        const addedBytes = (bodyBytes - this.coveredBytes) * PEAK_FACTOR;
        if (addedBytes <= 0) {
            return GRANTED;
        }
        const [first] = this.reservations;
        if (bodyBytes <= SMALL_BODY_BYTES) {
            first!.grow(addedBytes);
            return this.grant(bodyBytes);
        }
        if (first!.tryGrow(addedBytes)) {
            return this.grant(bodyBytes);
        }
        if (bodyBytes <= GUARANTEED_BODY_BYTES && this.memory.tryGuarantee(this)) {
            first!.grow(addedBytes);
            return this.grant(bodyBytes);
        }
        return this.wait(bodyBytes, addedBytes, timeoutMs);
    }

    [Symbol.dispose](): void {
        this.isDisposed = true;
        this.memory.end(this);
        this.reservations.forEach(reservation => reservation[Symbol.dispose]());
    }

    private grant(bodyBytes: number): Coverage {
        this.coveredBytes = bodyBytes;
        return GRANTED;
    }

    private wait(bodyBytes: number, addedBytes: number, timeoutMs: number): Coverage {
        const { budget } = this.memory;
        const isPartial = this.coveredBytes > SMALL_BODY_BYTES;
        const canFit = budget.canEverHold("control", bodyBytes * PEAK_FACTOR);
        if (!canFit || isPartial && !this.memory.tryWaitPartly(this)) {
            return REFUSED;
        }
        const isGranted = budget.reserve(this.owner, "control", addedBytes, timeoutMs).then(reservation => {
            this.memory.endPartialWait(this);
            if (reservation === undefined) {
                return false;
            }
            if (this.isDisposed) {
                reservation[Symbol.dispose]();
                return false;
            }
            this.reservations.push(reservation);
            this.coveredBytes = bodyBytes;
            return true;
        });
        return { kind: "wait", isGranted };
    }
}
