/** The link of a machine: bytes of all heavy loads for it are sent no faster than the deployments' links carry them. */
import type * as stream from "node:stream";
import * as timers from "node:timers/promises";

/** `linkMbps` of the deployments in force, in bytes a millisecond. */
const BYTES_PER_MS = 1000 * 1_000_000 / 8 / 1000;
const CHUNK_BYTES = 64 * 1024;
/** Time in milliseconds by which sending may run ahead, since timers are coarse. */
const AHEAD_MS = 4;

/** Times up to which the links are taken, by host. */
const takenUntil = new Map<string, number>();

/** Sends bytes as the link of the host allows; resolves when they are sent or the stream has ended. */
export async function send(host: string, sink: stream.Writable, bytes: Buffer): Promise<void> {
    for (let offset = 0; offset < bytes.length && !sink.destroyed; offset += CHUNK_BYTES) {
        const chunk = bytes.subarray(offset, offset + CHUNK_BYTES);
        const now = performance.now();
        const freeAt = Math.max(now, takenUntil.get(host) ?? now);
        takenUntil.set(host, freeAt + chunk.length / BYTES_PER_MS);
        if (freeAt > now + AHEAD_MS) {
            await timers.setTimeout(freeAt - now);
        }
        if (!sink.destroyed && !sink.write(chunk)) {
            await drained(sink);
        }
    }
}

function drained(sink: stream.Writable): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            sink.off("drain", finish);
            sink.off("close", finish);
            resolve();
        };
        sink.on("drain", finish);
        sink.on("close", finish);
    });
}
