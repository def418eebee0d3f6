/** Body of an answer in the memory of the entry, until it has left for its caller. */
import type * as budgets from "../memory/budget.js";
import * as byteBlocks from "../memory/byte-blocks.js";
import type * as reservations from "../memory/reservation.js";

export class AnswerBuffer implements Disposable {
    private readonly blocks = new byteBlocks.ByteBlocks();
    private reservation: reservations.Reservation | undefined;
    private addedBytes = 0;
    private isDelivered = false;
    private isDropped = false;

    /** `owner` is the owner of the memory. */
    constructor(private readonly memory: budgets.MemoryBudget, private readonly owner: string) {}

    /** Bytes of the body so far, including those that were taken out. */
    get bodyBytes(): number {
        return this.addedBytes;
    }

    /** Memory in bytes that is reserved. */
    get heldBytes(): number {
        return this.reservation?.bytes ?? 0;
    }

    get isEmpty(): boolean {
        return this.blocks.isEmpty;
    }

    /** Adds a chunk if the budget allows it. */
    tryAdd(chunk: Buffer): boolean {
        if (this.isDropped) {
            return true;
        }
        const costBytes = this.blocks.costOf(chunk.length);
        if (costBytes > 0 && !this.tryReserve(costBytes)) {
            return false;
        }
        this.append(chunk);
        return true;
    }

    /** Adds a chunk that has arrived, even if it exceeds the budget. */
    add(chunk: Buffer): void {
        if (this.isDropped) {
            return;
        }
        const costBytes = this.blocks.costOf(chunk.length);
        if (costBytes > 0) {
            this.reserve(costBytes);
        }
        this.append(chunk);
    }

    /** Takes the first block out. Its memory stays reserved until it is given back. */
    take(): byteBlocks.HeldBlock | undefined {
        return this.blocks.take();
    }

    /** Gives back the memory of blocks that were taken out. */
    giveBack(costBytes: number): void {
        this.reservation?.shrink(costBytes);
    }

    /** From now on its delivery owns the buffer. */
    beginDelivery(): void {
        this.isDelivered = true;
    }

    /** Gives all memory back. Chunks that are added later are ignored. */
    drop(): void {
        this.isDropped = true;
        this.blocks.clear();
        this.reservation?.[Symbol.dispose]();
    }

    /** Drops what nobody delivers. */
    [Symbol.dispose](): void {
        if (!this.isDelivered) {
            this.drop();
        }
    }

    private tryReserve(bytes: number): boolean {
        if (this.reservation !== undefined) {
            return this.reservation.tryGrow(bytes);
        }
        this.reservation = this.memory.tryReserve(this.owner, "answer", bytes);
        return this.reservation !== undefined;
    }

    private reserve(bytes: number): void {
        if (this.reservation === undefined) {
            this.reservation = this.memory.hold(this.owner, "answer", bytes);
        }
        else {
            this.reservation.grow(bytes);
        }
    }

    private append(chunk: Buffer): void {
        this.addedBytes += chunk.length;
        this.blocks.add(chunk);
    }
}
