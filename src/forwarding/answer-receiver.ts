/**
 * Receives an answer of a backend server that is no stream. It is buffered, so that the call can be repeated if it breaks
 * off; one for which there is no memory is relayed as it arrives.
 */
import type * as http from "node:http";
import * as chunkCosts from "../http/chunk-cost.js";
import * as messageHeads from "../http/message-head.js";
import * as answerBuffers from "./answer-buffer.js";
import type * as answerDeliveries from "./answer-delivery.js";
import type * as callerResponses from "./caller-response.js";
import type * as responseReadings from "./response-reading.js";
import type * as types from "./types.js";

/** Largest body in bytes that is buffered. */
const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Largest body in bytes without a declared length; a server in trouble may send one without end. */
const MAXIMUM_UNDECLARED_BYTES = 32 * 1024 * 1024;

/**
 * Why an answer is not buffered:
 *
 * - `too-large`: no buffer could ever hold it, or it grows without having declared its length.
 * - `no-memory`: other answers, or others of the same owner, hold the memory.
 */
export type RelayReason = "too-large" | "no-memory";

export interface AnswerInput {
    readonly response: http.IncomingMessage;
    readonly callerResponse: callerResponses.CallerResponse;
    readonly reading: responseReadings.ResponseReading;
    /** Owner of the memory. */
    readonly owner: string;
    /** Id of the backend server. */
    readonly server: string;
}

type AnswerPorts = Pick<types.CallPorts, "journal" | "memory" | "meter">;

export class AnswerReceiver implements Disposable {
    private readonly body: answerBuffers.AnswerBuffer;
    private readonly declaredBytes: number | undefined;
    private delivery: answerDeliveries.AnswerDelivery | undefined;
    private receivedBytes = 0;
    private chunks = 0;

    constructor(private readonly ports: AnswerPorts, private readonly input: AnswerInput) {
        this.body = new answerBuffers.AnswerBuffer(ports.memory, input.owner);
        this.declaredBytes = messageHeads.statedBytes(input.response.headers);
    }

    /** Bytes of the answer have been passed on. */
    get isRelaying(): boolean {
        return this.delivery !== undefined;
    }

    /** Buffers the chunk, or passes it on if the answer is relayed. Returns why there is no room for it otherwise. */
    receive(chunk: Buffer): RelayReason | undefined {
        this.receivedBytes += chunk.length;
        this.chunks++;
        if (this.input.callerResponse.isClosed) {
            // The call goes on for the sake of its outcome; nobody reads the answer.
            this.body.drop();
            return undefined;
        }
        if (this.delivery !== undefined) {
            this.deliver(this.delivery, chunk);
            return undefined;
        }
        const expectedBytes = Math.max(this.declaredBytes ?? 0, this.body.bodyBytes + chunk.length);
        if (expectedBytes > MAXIMUM_BUFFERED_BYTES || !this.ports.memory.canEverHold("answer", expectedBytes)) {
            return "too-large";
        }
        return this.body.tryAdd(chunk) ? undefined : "no-memory";
    }

    /** Passes on what was buffered, then this chunk and what follows. */
    relay(chunk: Buffer, reason: RelayReason): void {
        const { response, callerResponse, reading } = this.input;
        this.ports.journal.emit("answer-relayed", {
            call: callerResponse.callId,
            backendServer: this.input.server,
            reason,
            status: response.statusCode,
            bufferedBytes: this.body.bodyBytes,
            declaredBytes: this.declaredBytes,
            heldBytes: Math.round(this.ports.memory.usage.answer),
            availableBytes: Number.isFinite(this.ports.memory.availableBytes)
                ? Math.round(this.ports.memory.availableBytes)
                : undefined,
        });
        this.ports.meter.answerRelayed(reason);
        this.delivery = callerResponse.relay(response.statusCode!, response.rawHeaders, this.body, {
            declaredBytes: this.declaredBytes,
            onReady: () => reading.resume(),
        });
        this.deliver(this.delivery, chunk);
    }

    /** The body is so long that it probably has no end. */
    get isEndless(): boolean {
        return this.declaredBytes === undefined
            && (this.receivedBytes > MAXIMUM_UNDECLARED_BYTES
                || this.chunks > chunkCosts.maximumChunks(MAXIMUM_UNDECLARED_BYTES));
    }

    /** Ends an answer that is relayed. */
    endRelay(): undefined {
        this.input.callerResponse.endRelay();
    }

    /** The complete answer, if it is not relayed. */
    buffered(): callerResponses.BufferedResponse {
        const { statusCode, rawHeaders } = this.input.response;
        return { status: statusCode!, rawHeaders, body: this.body };
    }

    /** Gives the memory back, unless the answer is being delivered. */
    [Symbol.dispose](): void {
        this.body[Symbol.dispose]();
    }

    private deliver(delivery: answerDeliveries.AnswerDelivery, chunk: Buffer): void {
        if (!delivery.add(chunk)) {
            this.input.reading.pause();
        }
    }
}
