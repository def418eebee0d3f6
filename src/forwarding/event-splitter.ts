/** Cuts a stream of server-sent events into whole events, so that none is passed on in part. */

export interface StreamEvent {
    /** Number of the event; undefined for one without a number. */
    readonly id: number | undefined;
    /** The event with its closing blank line. */
    readonly bytes: Buffer;
}

/** An event larger than this is no event of a backend server. */
const LARGEST_EVENT_BYTES = 4 * 1024 * 1024;
const LINE_FEED = 0x0a;
const ID_LINE = /^id: ?(\d+)\r?$/m;

export class EventSplitter {
    private pending: Buffer = Buffer.alloc(0);

    /** Adds bytes and returns the events that they complete. Undefined when an event is too large. */
    push(chunk: Buffer): readonly StreamEvent[] | undefined {
        let rest = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        for (let end = eventEnd(rest); end > 0; end = eventEnd(rest)) {
            const bytes = rest.subarray(0, end);
            const id = ID_LINE.exec(bytes.toString("latin1"))?.[1];
            events.push({ id: id === undefined ? undefined : Number(id), bytes });
            rest = rest.subarray(end);
        }
        this.pending = rest;
        return rest.length > LARGEST_EVENT_BYTES ? undefined : events;
    }

    /** Bytes of an event that is not complete. */
    get remainder(): Buffer {
        return this.pending;
    }
}

/** Offset behind the first blank line, or 0. */
function eventEnd(bytes: Buffer): number {
    for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const next = bytes[index + 1] === 0x0d ? index + 2 : index + 1;
        if (bytes[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return 0;
}
