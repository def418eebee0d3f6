/** Writes lines to a file descriptor without ever blocking the process. */
import * as fs from "node:fs";

/** Lines are collected for this time in milliseconds, so that they take few system calls. */
const COLLECT_MS = 50;
/** Bytes that wait for a reader that is slow or gone; further lines are dropped and counted. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024;

export class LineWriter {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private dropped = 0;
    private isWriting = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly descriptor: number) {}

    /** Number of lines that were dropped since the last call. */
    takeDropped(): number {
        const { dropped } = this;
        this.dropped = 0;
        return dropped;
    }

    write(line: string): void {
        if (this.waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
            this.dropped++;
            return;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.timer ??= setTimeout(() => this.flush(), COLLECT_MS);
    }

    /** Writes what waits; for the end of the process, where blocking for a moment loses nothing. */
    flushNow(): void {
        const text = this.take();
        try {
            fs.writeSync(this.descriptor, text);
        }
        catch {
            // The reader is gone; there is nobody left to tell.
        }
    }

    private flush(): void {
        this.timer = undefined;
        if (this.isWriting || this.waiting.length === 0) {
            return;
        }
        this.isWriting = true;
        this.writeAll(Buffer.from(this.take()));
    }

    private writeAll(bytes: Buffer): void {
        fs.write(this.descriptor, bytes, (error, written) => {
            if (!error && written < bytes.length) {
                this.writeAll(bytes.subarray(written));
                return;
            }
            if (error?.code === "EAGAIN") {
                setTimeout(() => this.writeAll(bytes), COLLECT_MS);
                return;
            }
            this.dropped += error ? 1 : 0;
            this.isWriting = false;
            if (this.waiting.length > 0) {
                this.timer ??= setTimeout(() => this.flush(), COLLECT_MS);
            }
        });
    }

    private take(): string {
        const text = this.waiting.join("");
        this.waiting = [];
        this.waitingBytes = 0;
        return text;
    }
}
