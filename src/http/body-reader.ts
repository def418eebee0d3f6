/** Reads the body of a response into memory that is reserved first; without room the response is paused. */
import type * as http from "node:http";
import type * as readMemory from "../memory/read-memory.js";
import * as bodyBuffers from "./body-buffer.js";
import * as chunkCosts from "./chunk-cost.js";
import * as messageHeads from "./message-head.js";
import type * as responseCompletions from "./response-completion.js";

/** Size in bytes that a body of unknown length is first taken to have; the room doubles from there. */
const INITIAL_BYTES = 64 * 1024;

export interface BodyOptions {
    /** Tells whether the response is complete when it has ended. */
    readonly completion: responseCompletions.ResponseCompletion;
    /** Reserves what the reading holds; without it, nothing is counted. */
    readonly reservation: readMemory.ReadReservation | undefined;
    readonly maximumBytes: number;
    /** Longest wait for room in milliseconds. */
    readonly timeoutMs: number;
}

export type Body =
    | { readonly kind: "complete"; readonly text: string; }
    | { readonly kind: "no-response" | "too-large"; readonly reason: string; };

/** The promise never rejects. After a failure the response is to be destroyed by the caller. */
export function readBody(response: http.IncomingMessage, options: BodyOptions): Promise<Body> {
    return new Promise(resolve => new BodyReader(response, options, resolve).start());
}

class BodyReader {
    private readonly expectedBytes: number | undefined;
    private buffer: bodyBuffers.BodyBuffer | undefined;
    private coveredBytes = 0;
    private chunks = 0;
    private isOver = false;

    constructor(
        private readonly response: http.IncomingMessage,
        private readonly options: BodyOptions,
        private readonly resolve: (body: Body) => void,
    ) {
        this.expectedBytes = messageHeads.statedBytes(response.headers);
    }

    start(): void {
        const { response, expectedBytes = INITIAL_BYTES } = this;
        response.on("error", error => {
            this.fail("no-response", (error as NodeJS.ErrnoException).code ?? error.message);
        });
        response.on("end", () => this.complete());
        this.cover(expectedBytes, () => {
            this.buffer = new bodyBuffers.BodyBuffer(expectedBytes);
            response.on("data", (chunk: Buffer) => this.add(chunk));
        });
    }

    private add(chunk: Buffer): void {
        if (this.isOver) {
            return;
        }
        this.chunks++;
        if (this.chunks > chunkCosts.maximumChunks(this.options.maximumBytes)) {
            this.fail("too-large", `a body in more than ${this.chunks - 1} chunks`);
            return;
        }
        this.buffer!.add(chunk);
        const { bytes } = this.buffer!;
        if (bytes > this.coveredBytes) {
            this.cover(Math.min(this.options.maximumBytes, Math.max(bytes, 2 * this.coveredBytes)), () => undefined);
        }
        if (bytes > this.options.maximumBytes) {
            this.fail("too-large", tooLarge(this.options.maximumBytes));
        }
    }

    /** Calls `action` once there is room for a body of this size. */
    private cover(bytes: number, action: () => void): void {
        const { reservation, maximumBytes, timeoutMs } = this.options;
        if (bytes > maximumBytes) {
            this.fail("too-large", tooLarge(maximumBytes));
            return;
        }
        this.coveredBytes = bytes;
        const coverage = reservation?.cover(bytes, timeoutMs);
        if (coverage === undefined || coverage.kind === "granted") {
            action();
            return;
        }
        if (coverage.kind === "refused") {
            this.fail("too-large", noRoom(bytes));
            return;
        }
        this.response.pause();
        void coverage.isGranted.then(isGranted => {
            if (this.isOver) {
                return;
            }
            if (!isGranted) {
                this.fail("too-large", noRoom(bytes));
                return;
            }
            action();
            this.response.resume();
        });
    }

    private complete(): void {
        if (this.isOver) {
            return;
        }
        if (!this.options.completion.isComplete(this.response)) {
            this.fail("no-response", "incomplete response");
            return;
        }
        this.isOver = true;
        this.resolve({ kind: "complete", text: this.buffer?.takeText() ?? "" });
    }

    private fail(kind: "no-response" | "too-large", reason: string): void {
        if (!this.isOver) {
            this.isOver = true;
            this.buffer = undefined;
            this.resolve({ kind, reason });
        }
    }
}

function tooLarge(maximumBytes: number): string {
    return `a body of more than ${maximumBytes} bytes`;
}

function noRoom(bytes: number): string {
    return `no memory for a body of ${bytes} bytes`;
}
