/**
 * Splits a server-sent event stream into complete events, so that no partial event is relayed. Each byte is looked at once,
 * however small the chunks are in which it arrives.
 */
import * as byteBlocks from "../memory/byte-blocks.js";

export interface StreamEvent {
    /** Numeric `id` field of the event; undefined if it has none. */
    readonly id: number | undefined;
    /** The event including the blank line that ends it. */
    readonly bytes: Buffer;
}

/** What the bytes before a position end with, as far as a blank line may follow. */
type Preceding = "text" | "line-feed" | "line-feed-and-return";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export class EventSplitter {
    /** The incomplete event at the end of the data so far. */
    private readonly pending = new byteBlocks.ByteBlocks();
    private preceding: Preceding = "text";

    /** Bytes of the incomplete event at the end of the data so far. */
    get pendingBytes(): number {
        return this.pending.bytes;
    }

    /** Memory in bytes that they take. */
    get costBytes(): number {
        return this.pending.costBytes;
    }

    /** Adds a chunk and returns the events that it completes. */
    push(chunk: Buffer): readonly StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.findEventEnd(chunk, 0); end > 0; end = this.findEventEnd(chunk, start)) {
            events.push(this.complete(chunk.subarray(start, end)));
            start = end;
        }
        if (start < chunk.length) {
            this.pending.add(chunk.subarray(start));
        }
        return events;
    }

    /** The event that ends with these bytes. */
    private complete(last: Buffer): StreamEvent {
        if (!this.pending.isEmpty) {
            this.pending.add(last);
        }
        const bytes = this.pending.isEmpty ? last : this.pending.takeAll();
        const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
        return { id: id === undefined ? undefined : Number(id), bytes };
    }

    /** Offset after the first blank line, or 0 if there is none. */
    private findEventEnd(chunk: Buffer, from: number): number {
        let index = from;
        while (index < chunk.length) {
            if (this.preceding === "text") {
                const lineFeed = chunk.indexOf(LINE_FEED, index);
                if (lineFeed < 0) {
                    return 0;
                }
                this.preceding = "line-feed";
                index = lineFeed + 1;
                continue;
            }
            const byte = chunk[index];
            index++;
            if (byte === LINE_FEED) {
                this.preceding = "text";
                return index;
            }
            const isReturn = byte === CARRIAGE_RETURN && this.preceding === "line-feed";
            this.preceding = isReturn ? "line-feed-and-return" : "text";
        }
        return 0;
    }
}
