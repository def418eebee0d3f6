/** Reader of server-sent events. */
import * as failures from "../core/failure.js";

const PREFIX = "data:";
const LINE_LIMIT = 1024 * 1024;

/**
 * Yields the data of each complete line `data: ...`; a last line without its end is dropped as cut off.
 *
 * Throws `engine-protocol-error` when a line exceeds the limit.
 */
export async function* dataLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string, void, void> {
    const decoder = new TextDecoder();
    let rest = "";
    for await (const chunk of chunks) {
        const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
        rest = lines.pop() ?? "";
        if (rest.length > LINE_LIMIT) {
            throw new failures.FailureError({ kind: "engine-protocol-error", detail: "found a line over the limit" });
        }
        for (const line of lines.filter(candidate => candidate.startsWith(PREFIX))) {
            yield line.slice(PREFIX.length).trim();
        }
    }
}
