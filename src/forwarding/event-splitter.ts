/** Splits a server-sent event stream into complete events, so that no partial event is relayed. */

export interface StreamEvent {
    /** Numeric `id` field of the event; undefined if it has none. */
    readonly id: number | undefined;
    /** The event including the blank line that ends it. */
    readonly bytes: Buffer;
}

/** No backend server sends a larger event. */
const MAXIMUM_EVENT_BYTES = 256 * 1024;
const LINE_FEED = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);

    /** Adds a chunk and returns the events that it completes. Undefined when an event exceeds the maximum size. */
    push(chunk: Buffer): readonly StreamEvent[] | undefined {
        let rest = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        for (let end = findEventEnd(rest); end > 0; end = findEventEnd(rest)) {
            const bytes = rest.subarray(0, end);
            const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
            events.push({ id: id === undefined ? undefined : Number(id), bytes });
            rest = rest.subarray(end);
        }
        this.pending = rest;
        return rest.length > MAXIMUM_EVENT_BYTES ? undefined : events;
    }

    /** Bytes of the incomplete event at the end of the data so far. */
    get remainder(): Buffer {
        return this.pending;
    }
}

/** Offset after the first blank line, or 0 if there is none. */
function findEventEnd(bytes: Buffer): number {
    for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const next = bytes[index + 1] === 0x0d ? index + 2 : index + 1;
        if (bytes[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return 0;
}
