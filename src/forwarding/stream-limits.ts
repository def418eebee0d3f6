/** Limits of the bytes that a backend server may send on a stream; one in trouble may send some without end. */
import * as chunkCosts from "../http/chunk-cost.js";

/** What may arrive after an event until the next one is complete; no backend server sends a larger event. */
const MAXIMUM_EVENT_COST_BYTES = 256 * 1024;
/** What all events of a stream may have together. */
const MAXIMUM_STREAM_COST_BYTES = 32 * 1024 * 1024;

export class StreamLimits {
    private totalCostBytes = 0;
    /** What has arrived since the last event that continued the stream. */
    private costBytes = 0;

    /** Counts a chunk. */
    countChunk(bytes: number): void {
        this.costBytes += bytes + chunkCosts.CHUNK_COST_BYTES;
    }

    /** Counts an event, whose bytes were counted before. One without a number is no progress of the stream. */
    countEvent(isNumbered: boolean): void {
        if (isNumbered) {
            this.totalCostBytes += this.costBytes;
            this.costBytes = 0;
        }
        this.costBytes += chunkCosts.CHUNK_COST_BYTES;
    }

    /** Reason why the stream is not read on; undefined as long as it is within the limits. */
    get excess(): string | undefined {
        if (this.costBytes > MAXIMUM_EVENT_COST_BYTES) {
            return "an event is too large, or bytes without events go on";
        }
        return this.totalCostBytes > MAXIMUM_STREAM_COST_BYTES ? "a stream without end" : undefined;
    }
}
