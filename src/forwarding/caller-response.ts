/** The HTTP response to the caller: a failure of the router itself, a buffered server response, or a relayed stream. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import * as messageHeads from "../http/message-head.js";
import type * as answerBuffers from "./answer-buffer.js";
import * as answerDeliveries from "./answer-delivery.js";
import type * as dialects from "./dialect.js";

/** A complete response of a backend server. */
export interface BufferedResponse {
    readonly status: number;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
    readonly body: answerBuffers.AnswerBuffer;
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
    /** Longest time in milliseconds between two events that were relayed. */
    longestPauseMs = 0;
    private hasEnded = false;
    private relayDelivery: answerDeliveries.AnswerDelivery | undefined;
    /** The end of the connection is the end of the body. */
    private endsWithConnection = false;

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

    /** The response was sent, or the caller has left. */
    get isClosed(): boolean {
        return this.response.destroyed;
    }

    /** Bytes of an answer that cannot be resumed have been passed on before it was complete. */
    get isRelayed(): boolean {
        return this.relayDelivery !== undefined;
    }

    /** Whether an answer that is being relayed goes on after the deadline of the call. */
    continuesLate(now: number): boolean {
        return this.relayDelivery?.continuesLate(now) ?? false;
    }

    /** Sends a complete server response to the caller. */
    forward({ status, rawHeaders, body }: BufferedResponse): void {
        this.startBody(status, rawHeaders, body.bodyBytes);
        this.hasEnded = true;
        const options = { declaredBytes: body.bodyBytes, onReady: () => undefined };
        new answerDeliveries.AnswerDelivery(this.response, body, this.ports.clock, options).end();
    }

    /** Begins to send a server response that is not complete yet. */
    relay(
        status: number,
        rawHeaders: readonly string[],
        body: answerBuffers.AnswerBuffer,
        options: answerDeliveries.DeliveryOptions,
    ): answerDeliveries.AnswerDelivery {
        this.startBody(status, rawHeaders, options.declaredBytes);
        this.relayDelivery = new answerDeliveries.AnswerDelivery(this.response, body, this.ports.clock, options);
        return this.relayDelivery;
    }

    /** The relayed response is complete. */
    endRelay(): void {
        this.hasEnded = true;
        this.relayDelivery?.end();
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
        this.startBody(status, rawHeaders, undefined);
    }

    /** Writes stream data. Returns false when it waits for the caller; continue after `onDrain`. */
    write(bytes: Buffer): boolean {
        const now = this.ports.clock.now();
        this.longestPauseMs = Math.max(this.longestPauseMs, now - (this.lastEventAt ?? now));
        this.lastEventAt = now;
        return this.response.write(bytes) || this.isClosed;
    }

    /** Bytes that wait for the caller. */
    get waitingBytes(): number {
        return this.response.writableLength;
    }

    /** Calls the listener when nothing waits for the caller any more, or when the response is closed. */
    onDrain(listener: () => void): void {
        const notify = () => {
            this.response.off("drain", notify);
            this.response.off("close", notify);
            listener();
        };
        this.response.on("drain", notify);
        this.response.on("close", notify);
    }

    endStream(): void {
        this.close(undefined);
    }

    /** Closes the connection before the response is complete, so that the caller detects the truncation. */
    abort(): void {
        this.hasEnded = true;
        if (this.endsWithConnection) {
            // Without a length or chunks, only a reset tells the caller that the response is not complete.
            this.response.socket?.resetAndDestroy();
        }
        this.response.destroy();
    }

    /** Closes the connection once the response is sent: the rest of the request is not read. */
    closeAfterResponse(): void {
        this.response.shouldKeepAlive = false;
    }

    /** Sends the headers of a server response, with the length of its body if that is known. */
    private startBody(status: number, rawHeaders: readonly string[], bodyBytes: number | undefined): void {
        const headers = this.ports.dialect.responseHeaders(rawHeaders);
        this.startedAt = this.ports.clock.now();
        this.writeHead(status, withBodyLength(headers, this.response.req.method, status, bodyBytes));
        this.endsWithConnection = bodyBytes === undefined && !this.response.chunkedEncoding;
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

/** The headers with the length of the body that is sent. A response without a body states that of another one, if any. */
function withBodyLength(
    headers: readonly string[],
    method: string | undefined,
    status: number,
    bodyBytes: number | undefined,
): readonly string[] {
    if (messageHeads.isBodiless(method, status)) {
        return messageHeads.mayStateLength(status) ? headers : withoutContentLength(headers);
    }
    const length = bodyBytes === undefined ? [] : ["Content-Length", String(bodyBytes)];
    return [...withoutContentLength(headers), ...length];
}

function withoutContentLength(headers: readonly string[]): readonly string[] {
    return headers.filter((_, index) => headers[index - index % 2]!.toLowerCase() !== "content-length");
}
