/**
 * Bytes that arrive in chunks of any size, with what they take in memory. Small chunks are copied into blocks: each would keep
 * an object of its own, which takes far more than its bytes.
 */

/** Smaller chunks are copied into a block. */
const COPIED_BELOW_BYTES = 2048;
/** Sizes in bytes of the first block and of the largest one; a block is as large as what is held already. */
const MINIMUM_BLOCK_BYTES = COPIED_BELOW_BYTES;
const MAXIMUM_BLOCK_BYTES = 16 * 1024;
/** Memory in bytes that a buffer takes beside its content. */
const BUFFER_OVERHEAD_BYTES = 256;

/** Bytes that are held as one buffer. */
export interface HeldBlock {
    readonly bytes: Buffer;
    /** Memory that it takes, in bytes. */
    readonly costBytes: number;
}

/** The last block, if it has room left. */
interface OpenBlock {
    readonly memory: Buffer;
    usedBytes: number;
}

export class ByteBlocks {
    private blocks: HeldBlock[] = [];
    private open: OpenBlock | undefined;
    private heldBytes = 0;
    private heldCostBytes = 0;

    /** Number of bytes that are held. */
    get bytes(): number {
        return this.heldBytes;
    }

    /** Memory in bytes that they take. */
    get costBytes(): number {
        return this.heldCostBytes;
    }

    get isEmpty(): boolean {
        return this.blocks.length === 0;
    }

    /** Memory in bytes that another chunk of this length takes in addition. */
    costOf(chunkBytes: number): number {
        if (this.isKeptAlone(chunkBytes)) {
            return chunkBytes + BUFFER_OVERHEAD_BYTES;
        }
        return this.fitsOpenBlock(chunkBytes) ? 0 : this.nextBlockBytes + BUFFER_OVERHEAD_BYTES;
    }

    /** Adds a chunk, which may be kept as it is: its memory must not be written to afterwards. */
    add(chunk: Buffer): void {
        const costBytes = this.costOf(chunk.length);
        this.heldBytes += chunk.length;
        this.heldCostBytes += costBytes;
        if (this.isKeptAlone(chunk.length)) {
            this.blocks.push({ bytes: ownCopy(chunk), costBytes });
            this.open = undefined;
        }
        else {
            this.copy(chunk, costBytes);
        }
    }

    /** Takes the first block out. */
    take(): HeldBlock | undefined {
        const first = this.blocks.shift();
        if (first !== undefined) {
            this.heldBytes -= first.bytes.length;
            this.heldCostBytes -= first.costBytes;
            this.open = this.isEmpty ? undefined : this.open;
        }
        return first;
    }

    /** Takes all bytes out, as one buffer. While they are copied, they are held twice. */
    takeAll(): Buffer {
        const { blocks } = this;
        this.clear();
        return blocks.length === 1 ? blocks[0]!.bytes : Buffer.concat(blocks.map(({ bytes }) => bytes));
    }

    clear(): void {
        this.blocks = [];
        this.open = undefined;
        this.heldBytes = 0;
        this.heldCostBytes = 0;
    }

    private isKeptAlone(chunkBytes: number): boolean {
        return !this.fitsOpenBlock(chunkBytes) && (chunkBytes >= COPIED_BELOW_BYTES || this.isEmpty);
    }

    private fitsOpenBlock(chunkBytes: number): boolean {
        return this.open !== undefined && chunkBytes <= this.open.memory.length - this.open.usedBytes;
    }

    private get nextBlockBytes(): number {
        return Math.max(MINIMUM_BLOCK_BYTES, Math.min(MAXIMUM_BLOCK_BYTES, this.heldBytes));
    }

    private copy(chunk: Buffer, costBytes: number): void {
        const isNew = costBytes > 0;
        if (isNew) {
            this.open = { memory: Buffer.allocUnsafeSlow(costBytes - BUFFER_OVERHEAD_BYTES), usedBytes: 0 };
        }
        const open = this.open!;
        chunk.copy(open.memory, open.usedBytes);
        open.usedBytes += chunk.length;
        const filled = open.memory.subarray(0, open.usedBytes);
        this.blocks.push({ bytes: filled, costBytes: isNew ? costBytes : this.blocks.pop()!.costBytes });
    }
}

/** The chunk, or a copy if it is a part of a larger buffer, which would be kept as a whole. */
function ownCopy(chunk: Buffer): Buffer {
    if (chunk.buffer.byteLength === chunk.length) {
        return chunk;
    }
    const copy = Buffer.allocUnsafeSlow(chunk.length);
    chunk.copy(copy);
    return copy;
}
