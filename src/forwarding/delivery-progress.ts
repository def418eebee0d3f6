/** Notices answers of which the caller takes nothing any more. */
import type * as net from "node:net";

/** Time in milliseconds for which a caller may take nothing of an answer while memory is short. */
const STALL_MS = 15_000;
/** Share of the available memory that answers hold from which memory is short. */
const SHORT_SHARE = 0.35;

export class DeliveryProgress {
    private sentBytes = 0;
    private sentAt: number | undefined;

    /** Looks how far the connection is. Returns whether its caller has taken nothing for too long. */
    hasStalled(socket: net.Socket, now: number): boolean {
        const sentBytes = socket.bytesWritten - socket.writableLength;
        if (sentBytes !== this.sentBytes || this.sentAt === undefined) {
            this.sentBytes = sentBytes;
            this.sentAt = now;
        }
        return now - this.sentAt > STALL_MS;
    }

    /** The connection delivers nothing. */
    reset(): void {
        this.sentAt = undefined;
    }
}

/** Whether answers hold so much that those which nobody takes have to make room. */
export function isMemoryShort(answerBytes: number, availableBytes: number): boolean {
    return answerBytes > availableBytes * SHORT_SHARE;
}
