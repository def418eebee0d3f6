/**
 * Memory budget of a process. All that holds bytes of others reserves them here first, so that load is refused or read
 * slower before the process exceeds the limit of its machine.
 */
import type * as collectors from "./collector.js";
import * as reservations from "./reservation.js";
import type * as types from "./types.js";

/**
 * Level of the budget, as a share of its capacity, above which a purpose gets nothing more. What ends work stands above
 * what begins it, so that answers that are ready can still be delivered.
 */
const LEVELS: Readonly<Record<types.Purpose, number>> = {
    upload: 0.5,
    answer: 0.7,
    control: 0.85,
    connection: 0.85,
};
/**
 * Share of the capacity that a purpose has to itself, above all levels: answers that nobody reads must not keep out the
 * small calls of others.
 */
const OWN_SHARES: Readonly<Record<types.Purpose, number>> = {
    upload: 0.15,
    answer: 0,
    control: 0,
    connection: 0,
};
/** Purposes whose owners share what is left below the level; the others are limited by the level only. */
const SHARED_PURPOSES: ReadonlySet<types.Purpose> = new Set(["upload", "answer"]);
/** Waits for memory that are kept for a purpose; further ones fail at once. Each has a connection that is not read. */
const MAXIMUM_WAITS = 64;
/** Smallest part of the capacity that stays usable, whatever the operating system reports. */
const MINIMUM_CAPACITY_SHARE = 0.25;

interface Wait {
    readonly owner: string;
    readonly purpose: types.Purpose;
    readonly bytes: number;
    readonly resolve: (reservation: reservations.Reservation | undefined) => void;
    readonly timer: NodeJS.Timeout;
}

/** Numbers by purpose. */
export type Usage = Readonly<Record<types.Purpose, number>>;

export class MemoryBudget implements Disposable {
    private readonly heldByPurpose = { upload: 0, answer: 0, control: 0, connection: 0 };
    /** Bytes by purpose and owner, for the purposes that owners share. */
    private readonly heldByOwner = new Map<string, number>();
    private readonly refusalsByPurpose = { upload: 0, answer: 0, control: 0, connection: 0 };
    private readonly waits = new Set<Wait>();
    private heldTotal = 0;
    private peakTotal = 0;
    private usableBytes: number;

    /**
     * `capacityBytes` is what may be reserved in all; `Infinity` turns the budget off. `collector` is told of released
     * buffers.
     */
    constructor(readonly capacityBytes: number, private readonly collector?: collectors.Collector) {
        this.usableBytes = capacityBytes;
    }

    get heldBytes(): number {
        return this.heldTotal;
    }

    /** Most bytes that were held at once. */
    get peakBytes(): number {
        return this.peakTotal;
    }

    /** Bytes that are held. */
    get usage(): Usage {
        return { ...this.heldByPurpose };
    }

    /** Number of reservations that were refused, by purpose. */
    get refusals(): Usage {
        return { ...this.refusalsByPurpose };
    }

    /** Bytes that may be reserved now; less than the capacity while the process holds more than it has reserved. */
    get availableBytes(): number {
        return this.usableBytes;
    }

    /** Limits what may be reserved to `bytes` more than is held now, as long as the capacity allows that. */
    limitGrowth(bytes: number): void {
        const minimumBytes = this.capacityBytes * MINIMUM_CAPACITY_SHARE;
        this.usableBytes = Math.max(minimumBytes, Math.min(this.capacityBytes, this.heldTotal + bytes));
        this.grantWaits();
    }

    /**
     * Whether a reservation of this size could be granted if nothing else were held. One that could not be must be
     * refused for good instead of being tried again.
     */
    canEverHold(purpose: types.Purpose, bytes: number): boolean {
        const nothingHeld = { heldByOwner: 0, heldByPurpose: 0, heldTotal: 0 };
        const { capacityBytes } = this;
        return fits(purpose, { ...nothingHeld, bytes, capacityBytes, usableBytes: capacityBytes });
    }

    /** Reserves bytes. Undefined if the owner's share or the budget is used up. */
    tryReserve(owner: string, purpose: types.Purpose, bytes: number): reservations.Reservation | undefined {
        if (!this.tryTake(owner, purpose, bytes)) {
            return undefined;
        }
        return new reservations.Reservation(this, owner, purpose, bytes);
    }

    /** Counts bytes that are held in any case. */
    hold(owner: string, purpose: types.Purpose, bytes: number): reservations.Reservation {
        this.take(owner, purpose, bytes);
        return new reservations.Reservation(this, owner, purpose, bytes);
    }

    /**
     * Reserves bytes as soon as they are free; the owner that holds least comes first. Undefined after `timeoutMs`, or at
     * once if too many wait.
     */
    reserve(
        owner: string,
        purpose: types.Purpose,
        bytes: number,
        timeoutMs: number,
    ): Promise<reservations.Reservation | undefined> {
        if (this.fits(owner, purpose, bytes)) {
            return Promise.resolve(this.hold(owner, purpose, bytes));
        }
        if (timeoutMs <= 0 || this.waitsFor(purpose) >= MAXIMUM_WAITS || !this.canEverHold(purpose, bytes)) {
            this.refusalsByPurpose[purpose]++;
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.waits.delete(wait);
                this.refusalsByPurpose[purpose]++;
                resolve(undefined);
            }, timeoutMs);
            const wait: Wait = { owner, purpose, bytes, resolve, timer };
            this.waits.add(wait);
        });
    }

    /** For reservations only. */
    tryTake(owner: string, purpose: types.Purpose, bytes: number): boolean {
        if (!this.fits(owner, purpose, bytes)) {
            this.refusalsByPurpose[purpose]++;
            return false;
        }
        this.take(owner, purpose, bytes);
        return true;
    }

    /** For reservations only. */
    take(owner: string, purpose: types.Purpose, bytes: number): void {
        this.add(owner, purpose, bytes);
        this.peakTotal = Math.max(this.peakTotal, this.heldTotal);
    }

    /** For reservations only. */
    giveBack(owner: string, purpose: types.Purpose, bytes: number): void {
        this.add(owner, purpose, -bytes);
        if (purpose !== "connection") {
            this.collector?.released(bytes, this.heldTotal - this.heldByPurpose.connection);
        }
        this.grantWaits();
    }

    /** Ends all waits without a reservation. */
    [Symbol.dispose](): void {
        for (const wait of this.waits) {
            clearTimeout(wait.timer);
            wait.resolve(undefined);
        }
        this.waits.clear();
    }

    private fits(owner: string, purpose: types.Purpose, bytes: number): boolean {
        return fits(purpose, {
            bytes,
            heldByOwner: this.heldBy(owner, purpose),
            heldByPurpose: this.heldByPurpose[purpose],
            heldTotal: this.heldTotal,
            usableBytes: this.usableBytes,
            capacityBytes: this.capacityBytes,
        });
    }

    private waitsFor(purpose: types.Purpose): number {
        return [...this.waits].filter(wait => wait.purpose === purpose).length;
    }

    /** Grants waits, those of the owner that holds least first; among equals the oldest. */
    private grantWaits(): void {
        while (this.waits.size > 0) {
            const fitting = [...this.waits].filter(wait => this.fits(wait.owner, wait.purpose, wait.bytes));
            if (fitting.length === 0) {
                return;
            }
            const first = fitting.reduce((least, wait) => {
                return this.heldBy(wait.owner, wait.purpose) < this.heldBy(least.owner, least.purpose) ? wait : least;
            });
            this.waits.delete(first);
            clearTimeout(first.timer);
            first.resolve(this.hold(first.owner, first.purpose, first.bytes));
        }
    }

    private heldBy(owner: string, purpose: types.Purpose): number {
        return this.heldByOwner.get(ownerKey(owner, purpose)) ?? 0;
    }

    private add(owner: string, purpose: types.Purpose, bytes: number): void {
        this.heldTotal += bytes;
        this.heldByPurpose[purpose] += bytes;
        if (SHARED_PURPOSES.has(purpose)) {
            const key = ownerKey(owner, purpose);
            const held = (this.heldByOwner.get(key) ?? 0) + bytes;
            if (held > 0) {
                this.heldByOwner.set(key, held);
            }
            else {
                this.heldByOwner.delete(key);
            }
        }
    }
}

interface Request {
    readonly bytes: number;
    readonly heldByOwner: number;
    readonly heldByPurpose: number;
    readonly heldTotal: number;
    readonly usableBytes: number;
    readonly capacityBytes: number;
}

/** Whether the bytes can be added, below the level of the purpose or in the part that it has to itself. */
function fits(purpose: types.Purpose, request: Request): boolean {
    const belowLevel = request.usableBytes * LEVELS[purpose] - request.heldTotal;
    const ofOwnPart = request.capacityBytes * OWN_SHARES[purpose] - request.heldByPurpose;
    return leavesEnough(purpose, request, belowLevel) || leavesEnough(purpose, request, ofOwnPart);
}

/**
 * For shared purposes an owner may hold at most as much as it leaves free (a dynamic threshold): one alone gets half, and
 * those that come later always find something.
 */
function leavesEnough(purpose: types.Purpose, { bytes, heldByOwner }: Request, freeBytes: number): boolean {
    return freeBytes - bytes >= (SHARED_PURPOSES.has(purpose) ? heldByOwner + bytes : 0);
}

function ownerKey(owner: string, purpose: types.Purpose): string {
    return `${purpose} ${owner}`;
}
