/** The bytes of a body as they arrive, in one buffer: many small chunks would take far more memory than their bytes. */

const INITIAL_BYTES = 16 * 1024;

export class BodyBuffer {
    private buffer: Buffer;
    private length = 0;

    /** `expectedBytes` is the length of the body if it is known; a longer body is taken as well. */
    constructor(expectedBytes = INITIAL_BYTES) {
        this.buffer = Buffer.allocUnsafeSlow(expectedBytes);
    }

    /** Number of bytes that have been added. */
    get bytes(): number {
        return this.length;
    }

    add(chunk: Buffer): void {
        const length = this.length + chunk.length;
        if (length > this.buffer.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(length, 2 * this.buffer.length));
            this.buffer.copy(larger, 0, 0, this.length);
            this.buffer = larger;
        }
        chunk.copy(this.buffer, this.length);
        this.length = length;
    }

    /** Decodes the bytes as UTF-8 and forgets them. */
    takeText(): string {
        const text = this.buffer.toString("utf8", 0, this.length);
        this.buffer = Buffer.alloc(0);
        this.length = 0;
        return text;
    }
}
