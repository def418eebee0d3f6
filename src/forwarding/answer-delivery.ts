/** Writes an answer no faster than its caller reads it, and gives its memory back as the bytes leave the process. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import type * as answerBuffers from "./answer-buffer.js";

/** Bytes that the connection may hold at once. */
const WINDOW_BYTES = 64 * 1024;
/** Time in milliseconds after the deadline of the call in which its caller has to read something. */
const CALLER_STALL_MS = 5000;
/** Time in milliseconds after the deadline of the call within which bytes that are ready arrive from the server. */
const SERVER_STALL_MS = 500;
/** Time in milliseconds that one wait for a caller takes at least if it is the caller who is slow. */
const SLOW_CALLER_MS = 500;
/** Bytes that a body of unknown length may have after the deadline of the call; it may have no end. */
const MAXIMUM_LATE_BYTES = 8 * 1024 * 1024;

export interface DeliveryOptions {
    /** Length of the body in bytes if it is known. */
    readonly declaredBytes: number | undefined;
    /** Called when nothing waits for the caller any more, or when the caller has left. */
    readonly onReady: () => void;
}

export class AnswerDelivery {
    /** Memory of the bytes that wait in the connection. */
    private handedBytes = 0;
    /** Bytes of the body that were written. */
    private writtenBytes = 0;
    private needsDrain = false;
    /** The chunks of the present read are written after all of them have been added. */
    private isPumpScheduled = false;
    /** Time in milliseconds at which the caller began to keep bytes waiting, and the longest wait. */
    private waitsSince = 0;
    private longestWaitMs = 0;
    private isEnding = false;
    private isClosed = false;
    /** Time in milliseconds at which the caller last took bytes that it had kept waiting. */
    private takenAt: number;
    /** Bytes that were written before the deadline of the call; undefined until then. */
    private bytesBeforeDeadline: number | undefined;

    /** The delivery owns the buffer from now on. */
    constructor(
        private readonly response: http.ServerResponse,
        private readonly buffer: answerBuffers.AnswerBuffer,
        private readonly clock: Pick<clocks.Clock, "now">,
        private readonly options: DeliveryOptions,
    ) {
        this.takenAt = clock.now();
        buffer.beginDelivery();
        if (response.destroyed || !response.socket && response.req.socket.destroyed) {
            this.close();
            return;
        }
        const close = () => this.close();
        response.once("close", close);
        if (!response.socket) {
            // A response that waits for those before it is not told when their connection closes.
            const { socket } = response.req;
            socket.once("close", close);
            response.once("close", () => void socket.off("close", close));
        }
    }

    /** Bytes wait for the caller. */
    get isWaiting(): boolean {
        return !this.isClosed && (this.needsDrain || !this.buffer.isEmpty);
    }

    /** Adds bytes that have arrived. Returns false if they wait for the caller; `onReady` follows. */
    add(chunk: Buffer): boolean {
        if (!this.isClosed) {
            this.buffer.add(chunk);
            this.schedulePump();
        }
        return this.isClosed || !this.needsDrain;
    }

    /** The answer is complete. */
    end(): void {
        this.isEnding = true;
        this.pump();
    }

    /**
     * Whether the answer goes on after the deadline of the call: its caller, and not its server, is what it waits for, and
     * that caller reads.
     */
    continuesLate(now: number): boolean {
        this.bytesBeforeDeadline ??= this.writtenBytes;
        const lateBytes = this.writtenBytes - this.bytesBeforeDeadline;
        const waitMs = Math.max(this.longestWaitMs, this.needsDrain ? now - this.waitsSince : 0);
        const isBounded = this.options.declaredBytes !== undefined
            || waitMs >= SLOW_CALLER_MS && lateBytes <= MAXIMUM_LATE_BYTES;
        const stallMs = this.isWaiting ? CALLER_STALL_MS : SERVER_STALL_MS;
        return !this.isClosed && isBounded && now - this.takenAt < stallMs;
    }

    private schedulePump(): void {
        if (!this.isPumpScheduled) {
            this.isPumpScheduled = true;
            process.nextTick(() => {
                this.isPumpScheduled = false;
                this.pump();
            });
        }
    }

    private pump(): void {
        if (this.isClosed || this.response.writableEnded) {
            return;
        }
        while (!this.buffer.isEmpty && (!this.needsDrain || this.handedBytes < WINDOW_BYTES)) {
            this.writeNext();
        }
        if (this.isEnding && this.buffer.isEmpty && !this.response.writableEnded) {
            this.response.end();
        }
        if (!this.needsDrain && !this.isEnding) {
            this.giveBackHanded();
        }
    }

    private writeNext(): void {
        const { bytes, costBytes } = this.buffer.take()!;
        this.handedBytes += costBytes;
        this.writtenBytes += bytes.length;
        if (this.isEnding && this.buffer.isEmpty) {
            this.response.end(bytes);
        }
        else if (!this.response.write(bytes) && !this.needsDrain) {
            this.needsDrain = true;
            this.waitsSince = this.clock.now();
            this.response.once("drain", () => this.onDrain());
        }
    }

    private onDrain(): void {
        this.needsDrain = false;
        this.takenAt = this.clock.now();
        this.longestWaitMs = Math.max(this.longestWaitMs, this.takenAt - this.waitsSince);
        this.giveBackHanded();
        this.pump();
        if (!this.isWaiting && !this.isEnding) {
            this.options.onReady();
        }
    }

    private giveBackHanded(): void {
        this.buffer.giveBack(this.handedBytes);
        this.handedBytes = 0;
    }

    /** The response has been sent, or its caller has left. */
    private close(): void {
        this.isClosed = true;
        this.buffer.drop();
        if (!this.isEnding) {
            this.options.onReady();
        }
    }
}
