/** Buffered writer of lines to a file descriptor that does not block the process. */
import * as fs from "node:fs";

/** Time in milliseconds for which lines are buffered to save system calls; also the delay before a write is retried. */
const FLUSH_DELAY_MS = 50;
/** Limit of the buffer while the reader is slow or gone; further lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024;

/** Attempts of the last write while the reader takes nothing. */
const MAXIMUM_LAST_ATTEMPTS = 10_000;

export class LineWriter {
    private bufferedLines: string[] = [];
    private bufferedBytes = 0;
    private dropped = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;
    /** Rest of a write that is repeated later. */
    private unwritten: Buffer | undefined;

    constructor(private readonly descriptor: number) {}

    /** Returns the number of lines dropped since the last call, and resets it. */
    takeDroppedCount(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }

    write(line: string): void {
        if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES) {
            this.dropped++;
            return;
        }
        this.bufferedLines.push(line);
        this.bufferedBytes += line.length;
        this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
    }

    /** Writes the buffered lines synchronously; only for the end of the process, where blocking does no harm. */
    flushSync(): void {
        let rest = Buffer.concat([this.unwritten ?? Buffer.alloc(0), Buffer.from(this.takeBuffered())]);
        this.unwritten = undefined;
        for (let attempt = 0; rest.length > 0 && attempt < MAXIMUM_LAST_ATTEMPTS; attempt++) {
            try {
                rest = rest.subarray(fs.writeSync(this.descriptor, rest));
            }
            catch (error) {
                if ((error as NodeJS.ErrnoException).code !== "EAGAIN") {
                    // The reader is gone, so the error can't be logged either.
                    return;
                }
            }
        }
        this.unwritten = rest.length === 0 ? undefined : rest;
    }

    private flush(): void {
        this.timer = undefined;
        if (this.isWriting || this.bufferedLines.length === 0) {
            return;
        }
        this.isWriting = true;
        this.writeAll(Buffer.from(this.takeBuffered()));
    }

    private writeAll(bytes: Buffer): void {
        fs.write(this.descriptor, bytes, (error, written) => {
            if (!error && written < bytes.length) {
                this.writeAll(bytes.subarray(written));
                return;
            }
            if (error?.code === "EAGAIN") {
                this.unwritten = bytes;
                setTimeout(() => this.repeat(), FLUSH_DELAY_MS);
                return;
            }
            this.dropped += error ? 1 : 0;
            this.isWriting = false;
            if (this.bufferedLines.length > 0) {
                this.timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
            }
        });
    }

    private repeat(): void {
        const bytes = this.unwritten;
        this.unwritten = undefined;
        // Nothing is left if the process has written its last lines meanwhile.
        this.writeAll(bytes ?? Buffer.alloc(0));
    }

    private takeBuffered(): string {
        const text = this.bufferedLines.join("");
        this.bufferedLines = [];
        this.bufferedBytes = 0;
        return text;
    }
}
