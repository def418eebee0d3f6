/** Parses server-sent events. */
import * as failures from "../core/failure.js";
import * as chunkCosts from "../http/chunk-cost.js";

const DATA_PREFIX = "data:";
/** Limit of an incomplete line in UTF-16 code units, where each chunk counts as in `chunk-cost.ts` beside its content. */
const MAXIMUM_LINE_LENGTH = 1024 * 1024;

/**
 * Yields the content of each complete `data:` line. A last line without a line break is truncated and is dropped.
 *
 * Throws `engine-protocol-error` when a line exceeds the length limit.
 */
export async function* dataLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void, void> {
    const decoder = new TextDecoder();
    /** What has arrived of the incomplete line. */
    let parts: string[] = [];
    let partsLength = 0;
    for await (const chunk of chunks) {
        const [continuation = "", ...beginnings] = decoder.decode(chunk, { stream: true }).split("\n");
        parts.push(continuation);
        partsLength += continuation.length + chunkCosts.CHUNK_COST_BYTES;
        const last = beginnings.pop();
        const lines = last === undefined ? [] : [parts.join(""), ...beginnings];
        if (last !== undefined) {
            parts = [last];
            partsLength = last.length;
        }
        if (partsLength > MAXIMUM_LINE_LENGTH) {
            throw new failures.FailureError({
                kind: "engine-protocol-error",
                detail: "a line exceeds the length limit",
            });
        }
        for (const line of lines.filter(candidate => candidate.startsWith(DATA_PREFIX))) {
            yield line.slice(DATA_PREFIX.length).trim();
        }
    }
}
