/** Collects the chunks of a body. */
import * as byteBlocks from "../memory/byte-blocks.js";

/** Size in bytes up to which a body is small: without a declared length it is kept in blocks. */
const MAXIMUM_SMALL_BYTES = 256 * 1024;
/** Size of that buffer in bytes; a body that is larger still gets one for the largest body. */
const BUFFER_BYTES = 4 * 1024 * 1024;

export interface BodyBuffer {
    /** Bytes that have arrived. */
    readonly length: number;
    add(chunk: Buffer): void;
    /** Bytes of memory that have to be reserved before another chunk of this size may arrive. */
    bytesBefore(chunkBytes: number): number;
    /** The whole body. Called once, after the last chunk. */
    complete(): Buffer;
    /** Forgets the body. Its memory is free once nothing sends it any more. */
    release(): void;
}

/** `declaredBytes` is the length that the head states; undefined for a body in chunks. */
export function createBodyBuffer(declaredBytes: number | undefined, limitBytes: number): BodyBuffer {
    return declaredBytes === undefined ? new GrowingBodyBuffer(limitBytes) : new DeclaredBodyBuffer(declaredBytes);
}

/** Writes the chunks into one buffer of the declared length, so that the body is never held twice. */
class DeclaredBodyBuffer implements BodyBuffer {
    length = 0;
    private whole: Buffer | undefined;

    constructor(private readonly declaredBytes: number) {}

    add(chunk: Buffer): void {
        if (this.whole === undefined && chunk.length === this.declaredBytes) {
            this.whole = chunk;
            this.length = chunk.length;
            return;
        }
        this.whole ??= Buffer.allocUnsafeSlow(this.declaredBytes);
        chunk.copy(this.whole, this.length);
        this.length += chunk.length;
    }

    bytesBefore(): number {
        return this.declaredBytes;
    }

    complete(): Buffer {
        return this.whole!;
    }

    release(): void {
        this.whole = undefined;
    }
}

/**
 * Keeps a small body in blocks. A larger one gets a buffer, for which memory is reserved at once: uploads that grow side by
 * side would fill the memory before one of them is complete.
 */
class GrowingBodyBuffer implements BodyBuffer {
    length = 0;
    private readonly blocks = new byteBlocks.ByteBlocks();
    private whole: Buffer | undefined;

    constructor(private readonly limitBytes: number) {}

    add(chunk: Buffer): void {
        if (this.length + chunk.length > MAXIMUM_SMALL_BYTES) {
            this.write(chunk);
        }
        else {
            this.blocks.add(chunk);
        }
        this.length += chunk.length;
    }

    bytesBefore(chunkBytes: number): number {
        const bytes = this.length + chunkBytes;
        // The blocks are copied into one buffer at the end, and the buffer into a larger one.
        return bytes <= MAXIMUM_SMALL_BYTES
            ? this.blocks.costBytes + this.blocks.costOf(chunkBytes) + bytes
            : this.capacityFor(bytes) + (bytes > BUFFER_BYTES ? BUFFER_BYTES : MAXIMUM_SMALL_BYTES);
    }

    complete(): Buffer {
        // The rest of a large buffer has never been written to, so that it takes no memory.
        return this.whole === undefined ? this.blocks.takeAll() : this.whole.subarray(0, this.length);
    }

    release(): void {
        this.whole = undefined;
        this.blocks.clear();
    }

    private write(chunk: Buffer): void {
        const bytes = this.length + chunk.length;
        if (this.whole === undefined || this.whole.length < bytes) {
            const larger = Buffer.allocUnsafeSlow(this.capacityFor(bytes));
            const kept = this.whole === undefined ? this.blocks.takeAll() : this.whole.subarray(0, this.length);
            kept.copy(larger);
            this.whole = larger;
        }
        chunk.copy(this.whole, this.length);
    }

    private capacityFor(bytes: number): number {
        return bytes <= BUFFER_BYTES ? Math.min(BUFFER_BYTES, this.limitBytes) : this.limitBytes;
    }
}
