/** Relays the events of a stream of a backend server, and counts the memory of what waits for a caller that reads slowly. */
import type * as http from "node:http";
import type * as reservations from "../memory/reservation.js";
import type * as callerResponses from "./caller-response.js";
import * as splitters from "./event-splitter.js";
import type * as responseReadings from "./response-reading.js";
import * as streamLimits from "./stream-limits.js";
import type * as types from "./types.js";

export interface StreamInput {
    readonly response: http.IncomingMessage;
    readonly callerResponse: callerResponses.CallerResponse;
    readonly reading: responseReadings.ResponseReading;
    /** Owner of the memory. */
    readonly owner: string;
    /** Called before an event is relayed. */
    readonly onEvent: (event: splitters.StreamEvent) => void;
    /** Called when the caller has read what waited for it, and the server is read again. */
    readonly onResumed: () => void;
}

export class StreamRelay implements Disposable {
    private readonly splitter = new splitters.EventSplitter();
    private readonly limits = new streamLimits.StreamLimits();
    /** Events of one read, which are written together: a write takes more memory and time than a small event. */
    private batch: Buffer[] = [];
    private reservation: reservations.Reservation | undefined;
    private isDisposed = false;

    constructor(private readonly ports: Pick<types.CallPorts, "memory">, private readonly input: StreamInput) {}

    /** Relays the events that the chunk completes. Returns why the stream is not read on, if it exceeds the limits. */
    receive(chunk: Buffer): string | undefined {
        this.limits.countChunk(chunk.length);
        this.splitter.push(chunk).forEach(event => this.relay(event));
        this.countHeld();
        return this.limits.excess;
    }

    /** Ends the stream. Returns false if it ended within an event. */
    end(): boolean {
        this.writeBatch();
        if (this.splitter.pendingBytes > 0) {
            return false;
        }
        this.startResponse();
        this.input.callerResponse.endStream();
        return true;
    }

    [Symbol.dispose](): void {
        this.isDisposed = true;
        this.writeBatch();
        this.reservation?.[Symbol.dispose]();
    }

    private relay(event: splitters.StreamEvent): void {
        const { callerResponse } = this.input;
        const isRepeated = event.id !== undefined && callerResponse.lastEventId !== undefined
            && event.id <= callerResponse.lastEventId;
        this.limits.countEvent(event.id !== undefined);
        if (isRepeated) {
            return;
        }
        this.input.onEvent(event);
        callerResponse.lastEventId = event.id ?? callerResponse.lastEventId;
        this.batch.push(event.bytes);
        if (this.batch.length === 1) {
            // All chunks of one read are handled before this.
            process.nextTick(() => this.writeBatch());
        }
    }

    private writeBatch(): void {
        const { callerResponse, reading } = this.input;
        if (this.batch.length === 0) {
            return;
        }
        const bytes = this.batch.length === 1 ? this.batch[0]! : Buffer.concat(this.batch);
        this.batch = [];
        this.startResponse();
        if (!callerResponse.write(bytes) && !reading.isPaused && !this.isDisposed) {
            reading.pause();
            callerResponse.onDrain(() => this.resume());
            this.countHeld();
        }
    }

    private startResponse(): void {
        const { callerResponse, response } = this.input;
        if (!callerResponse.hasStarted) {
            callerResponse.startStream(response.statusCode!, response.rawHeaders);
        }
    }

    private resume(): void {
        if (this.isDisposed) {
            return;
        }
        this.input.reading.resume();
        this.countHeld();
        this.input.onResumed();
    }

    /** Counts the incomplete event, and what the caller has not read yet. */
    private countHeld(): void {
        const waitingBytes = this.input.reading.isPaused ? this.input.callerResponse.waitingBytes : 0;
        const heldBytes = this.splitter.costBytes + waitingBytes;
        if (this.reservation === undefined) {
            this.reservation = heldBytes === 0
                ? undefined
                : this.ports.memory.hold(this.input.owner, "answer", heldBytes);
            return;
        }
        const growth = heldBytes - this.reservation.bytes;
        if (growth > 0) {
            this.reservation.grow(growth);
        }
        else {
            this.reservation.shrink(-growth);
        }
    }
}
