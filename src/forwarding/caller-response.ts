/** The answer to a caller: a failure of the system, a whole answer of a server, or a stream. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import type * as dialects from "./dialect.js";

/** A whole answer of a server. */
export interface ServerResponse {
    readonly status: number;
    /** Names and values in turn. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

export interface AnswerPorts {
    readonly clock: clocks.Clock;
    readonly dialect: dialects.Dialect;
    readonly isDraining: () => boolean;
}

export class Answer {
    callId: string | undefined;
    /** Moment of the head of a successful answer. */
    startedAt: number | undefined;
    /** Number of the last event that was passed on. */
    lastEvent: number | undefined;
    private ended = false;

    constructor(private readonly response: http.ServerResponse, private readonly ports: AnswerPorts) {}

    /** Status that was sent; undefined before the head. */
    get status(): number | undefined {
        return this.response.headersSent ? this.response.statusCode : undefined;
    }

    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    get isComplete(): boolean {
        return this.ended;
    }

    pass(answer: ServerResponse): void {
        const headers = withoutLength(this.ports.dialect.answerHeaders(answer.rawHeaders));
        this.startedAt = this.ports.clock.now();
        this.writeHead(answer.status, [...headers, "Content-Length", String(answer.body.length)]);
        this.close(answer.body);
    }

    fail(status: number, message: string, retryAfterMs: number | undefined): void {
        const body = Buffer.from(JSON.stringify({ error: message }));
        const headers = this.ports.dialect.refusalHeaders(this.callId, retryAfterMs);
        const length = String(body.length);
        this.writeHead(status, [...headers, "Content-Type", "application/json", "Content-Length", length]);
        this.close(body);
    }

    /** Starts a stream; its length is open. */
    startStream(status: number, rawHeaders: readonly string[]): void {
        this.startedAt = this.ports.clock.now();
        this.writeHead(status, withoutLength(this.ports.dialect.answerHeaders(rawHeaders)));
    }

    /** Writes a part of a stream. False when the caller reads too slowly. */
    write(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    endStream(): void {
        this.close(undefined);
    }

    /** Ends the connection without the end mark of the answer, so that it can't be taken as complete. */
    breakOff(): void {
        this.ended = true;
        this.response.destroy();
    }

    private writeHead(status: number, headers: readonly string[]): void {
        if (this.ports.isDraining()) {
            this.response.shouldKeepAlive = false;
        }
        this.response.writeHead(status, [...headers]);
    }

    private close(body: Buffer | undefined): void {
        this.ended = true;
        this.response.end(body);
    }
}

function withoutLength(headers: readonly string[]): readonly string[] {
    return headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== "content-length");
}
