/** Parses server-sent events. */
import * as failures from "../core/failure.js";

const DATA_PREFIX = "data:";
/** In UTF-16 code units. */
const MAXIMUM_LINE_LENGTH = 1024 * 1024;

/**
 * Yields the content of each complete `data:` line. A last line without a line break is truncated and is dropped.
 *
 * Throws `engine-protocol-error` when a line exceeds the length limit.
 */
export async function* dataLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void, void> {
    const decoder = new TextDecoder();
    let partialLine = "";
    for await (const chunk of chunks) {
        const lines = (partialLine + decoder.decode(chunk, { stream: true })).split("\n");
        partialLine = lines.pop() ?? "";
        if (partialLine.length > MAXIMUM_LINE_LENGTH) {
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
