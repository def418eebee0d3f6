/** Reads the body of a call whole, so that an attempt can be repeated and a call is sent only when it is complete. */
import type * as http from "node:http";

export type BodyResult =
    | { readonly kind: "body"; readonly body: Buffer; }
    | { readonly kind: "too-large"; }
    | { readonly kind: "aborted"; };

const EMPTY = Buffer.alloc(0);

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
            const body = chunks.length === 0 ? EMPTY : chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
            resolve({ kind: "body", body });
        });
        request.on("error", () => resolve({ kind: "aborted" }));
        request.on("close", () => resolve({ kind: "aborted" }));
    });
}
