/** Reads the rest of a body that nobody needs: a connection that is closed with unread bytes loses its last answer. */
import type * as http from "node:http";
import * as messageHeads from "../http/message-head.js";

/** Time in milliseconds from the answer on for which the body is read. */
const DISCARD_TIMEOUT_MS = 3000;
/** Limit of the bytes if the configuration has none. */
const DEFAULT_MAXIMUM_BYTES = 4 * 1024 * 1024;

/**
 * Reads the rest of the body without keeping it. Closes the connection if it is longer than `maximumBytes`, or goes on for
 * too long after the answer.
 */
export function discardBody(response: http.ServerResponse, maximumBytes: number = DEFAULT_MAXIMUM_BYTES): void {
    const request = response.req;
    if (request.complete || request.destroyed || messageHeads.requestBytes(request.headers) === 0) {
        request.resume();
        return;
    }
    const { socket } = request;
    let bytes = 0;
    let timer: NodeJS.Timeout | undefined;
    const giveUp = () => {
        request.pause();
        // An answer to an earlier call on the connection may still be on its way.
        if (response.writableFinished) {
            socket.destroy();
        }
    };
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maximumBytes) {
            giveUp();
        }
    });
    response.once("finish", () => {
        if (bytes > maximumBytes) {
            socket.destroy();
        }
        else if (!request.complete) {
            timer = setTimeout(giveUp, DISCARD_TIMEOUT_MS);
        }
    });
    request.once("close", () => clearTimeout(timer));
    request.resume();
}
