/** The texts of copies that peers ask for. All peers that ask for the same state of a kind share one text. */
import type * as budgets from "../memory/budget.js";
import type * as reservations from "../memory/reservation.js";
import type * as copies from "../store-access/kind-copy.js";
import * as positions from "../store-access/position.js";
import type * as storeAccess from "../store-access/types.js";

/** Time in milliseconds for which a text is shared whose content depends on the time. */
const CHANGING_RETENTION_MS = 100;
/** Texts of a kind in use at once, of different states: peers that read slowly may use earlier ones. */
const MAXIMUM_TEXTS = 3;
/** Size of a text, and of the string that it is made of, as a multiple of the estimated size of its copy. */
const TEXT_FACTOR = 2;

/** A text that is used by one answer. */
export interface UsedText extends Disposable {
    readonly bytes: Buffer;
}

interface SharedText {
    readonly bytes: Buffer;
    readonly position: storeAccess.Position;
    readonly createdAt: number;
    readonly dependsOnTime: boolean;
    readonly reservation: reservations.Reservation;
    users: number;
}

export class DocumentTexts {
    /** Latest texts, by kind. */
    private readonly texts = new Map<string, SharedText>();
    /** Number of texts in use, by kind. */
    private readonly counts = new Map<string, number>();

    constructor(private readonly memory: budgets.MemoryBudget) {}

    /** The text of a copy; undefined if there is no room for it. */
    use(kind: string, copy: copies.KindCopy, now: number): UsedText | undefined {
        const known = this.texts.get(kind);
        const text = known !== undefined && isCurrent(known, copy, now) ? known : this.create(kind, copy, now);
        if (text === undefined) {
            return undefined;
        }
        text.users++;
        let isUsed = true;
        return {
            bytes: text.bytes,
            [Symbol.dispose]: () => {
                if (isUsed) {
                    isUsed = false;
                    this.release(kind, text);
                }
            },
        };
    }

    private create(kind: string, copy: copies.KindCopy, now: number): SharedText | undefined {
        const count = this.counts.get(kind) ?? 0;
        if (count >= MAXIMUM_TEXTS) {
            return undefined;
        }
        const reservation = this.memory.tryReserve(`document ${kind}`, "control", copy.bytes * TEXT_FACTOR);
        if (reservation === undefined) {
            return undefined;
        }
        const bytes = Buffer.from(JSON.stringify(copy.listing(now)));
        resize(reservation, bytes.length);
        this.counts.set(kind, count + 1);
        const dependsOnTime = copy.dependsOnTime(now);
        const text = { bytes, position: copy.position, createdAt: now, dependsOnTime, reservation, users: 0 };
        this.texts.set(kind, text);
        return text;
    }

    /** A text that nobody reads any more is not kept. */
    private release(kind: string, text: SharedText): void {
        text.users--;
        if (text.users > 0) {
            return;
        }
        text.reservation[Symbol.dispose]();
        this.counts.set(kind, this.counts.get(kind)! - 1);
        if (this.texts.get(kind) === text) {
            this.texts.delete(kind);
        }
    }
}

function isCurrent({ position, createdAt, dependsOnTime }: SharedText, copy: copies.KindCopy, now: number): boolean {
    const isYoung = now - createdAt < CHANGING_RETENTION_MS;
    return !positions.isAfter(copy.position, position) && (dependsOnTime ? isYoung : !copy.dependsOnTime(now));
}

function resize(reservation: reservations.Reservation, bytes: number): void {
    if (bytes > reservation.bytes) {
        reservation.grow(bytes - reservation.bytes);
    }
    else {
        reservation.shrink(reservation.bytes - bytes);
    }
}
