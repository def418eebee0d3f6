/** Buffers the request body, so that an attempt can be repeated and only complete calls are sent to a server. */
import type * as http from "node:http";

export type BodyResult =
    | { readonly kind: "body"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

const EMPTY_BODY = Buffer.alloc(0);

/** Resolves with `too-large` above `limitBytes`, and with `aborted` when the caller disconnects before the end. */
export function readBody(request: http.IncomingMessage, limitBytes: number): Promise<BodyResult> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let length = 0;
        request.on("data", (chunk: Buffer) => {
            length += chunk.length;
            if (length > limitBytes) {
                resolve({ kind: "too-large" });
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => {
            const body = chunks.length === 0 ? EMPTY_BODY : chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
            resolve({ kind: "body", body });
        });
        request.on("error", () => resolve({ kind: "aborted" }));
        request.on("close", () => resolve({ kind: "aborted" }));
    });
}
