/** The HTTP response to the caller: a failure of the router itself, a buffered server response, or a relayed stream. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import type * as dialects from "./dialect.js";

/** A complete response of a backend server. */
export interface BufferedResponse {
    readonly status: number;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}

export interface CallerResponsePorts {
    readonly clock: clocks.Clock;
    readonly dialect: dialects.Dialect;
    /** False if the connection is to be closed after this response. */
    readonly keepsConnection: (response: http.ServerResponse) => boolean;
}

export class CallerResponse {
    callId: string | undefined;
    /** Time at which the headers of a relayed server response were sent. */
    startedAt: number | undefined;
    /** Id of the last event that was relayed. */
    lastEventId: number | undefined;
    /** Time at which the last event was relayed. */
    lastEventAt: number | undefined;
    private hasEnded = false;

    constructor(private readonly response: http.ServerResponse, private readonly ports: CallerResponsePorts) {}

    /** Status that was sent; undefined until the headers have been sent. */
    get status(): number | undefined {
        return this.response.headersSent ? this.response.statusCode : undefined;
    }

    get hasStarted(): boolean {
        return this.response.headersSent;
    }

    /** The response was completed or aborted. */
    get isEnded(): boolean {
        return this.hasEnded;
    }

    /** Sends a complete server response to the caller. */
    forward(serverResponse: BufferedResponse): void {
        const headers = withoutContentLength(this.ports.dialect.responseHeaders(serverResponse.rawHeaders));
        this.startedAt = this.ports.clock.now();
        this.writeHead(serverResponse.status, [...headers, "Content-Length", String(serverResponse.body.length)]);
        this.close(serverResponse.body);
    }

    /** Sends a JSON error body. `retryAfterMs` is sent as the retry delay. */
    sendFailure(status: number, message: string, retryAfterMs: number | undefined): void {
        const body = Buffer.from(JSON.stringify({ error: message }));
        const headers = this.ports.dialect.refusalHeaders(this.callId, retryAfterMs);
        const length = String(body.length);
        this.writeHead(status, [...headers, "Content-Type", "application/json", "Content-Length", length]);
        this.close(body);
    }

    /** Sends the headers of a stream, without a content length. */
    startStream(status: number, rawHeaders: readonly string[]): void {
        this.startedAt = this.ports.clock.now();
        this.writeHead(status, withoutContentLength(this.ports.dialect.responseHeaders(rawHeaders)));
    }

    /** Writes stream data. Returns false when the write buffer is full; continue after `onDrain`. */
    write(bytes: Buffer): boolean {
        this.lastEventAt = this.ports.clock.now();
        return this.response.write(bytes);
    }

    onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    endStream(): void {
        this.close(undefined);
    }

    /** Closes the connection before the response is complete, so that the caller detects the truncation. */
    abort(): void {
        this.hasEnded = true;
        this.response.destroy();
    }

    /** Closes the connection once the response is sent: the rest of the request is not read. */
    closeAfterResponse(): void {
        this.response.shouldKeepAlive = false;
    }

    private writeHead(status: number, headers: readonly string[]): void {
        if (!this.ports.keepsConnection(this.response)) {
            this.response.shouldKeepAlive = false;
        }
        this.response.writeHead(status, [...headers]);
    }

    private close(body: Buffer | undefined): void {
        this.hasEnded = true;
        this.response.end(body);
    }
}

function withoutContentLength(headers: readonly string[]): readonly string[] {
    return headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== "content-length");
}
