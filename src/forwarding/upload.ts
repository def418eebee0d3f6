/** Receives the body of a call whose head was accepted, as far as there is memory for it. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import * as chunkCosts from "../http/chunk-cost.js";
import * as messageHeads from "../http/message-head.js";
import type * as budgets from "../memory/budget.js";
import type * as reservations from "../memory/reservation.js";
import * as bodyBuffers from "./body-buffer.js";
import type * as admissions from "./call-admission.js";
import type * as fragmentPaces from "./fragment-pace.js";

/** Bytes that a call takes beside its body. */
const CALL_BYTES = 16 * 1024;
/** Largest chunk in bytes in which the runtime hands over a body. */
const CHUNK_BYTES = 64 * 1024;
/** Limits of the wait for memory: a time in milliseconds, and a part of the time that the call has left. */
const MAXIMUM_WAIT_MS = 300;
const MAXIMUM_WAIT_SHARE = 0.1;
/** Time in milliseconds after which a caller may try again; its next connection may reach another entry. */
const RETRY_AFTER_MS = 500;

export type UploadResult =
    | {
        readonly kind: "body";
        readonly body: Buffer;
        /** Memory of the body and the call. Whoever gets the body releases it once nothing needs the body any more. */
        readonly memory: Disposable;
    }
    | { readonly kind: "aborted"; }
    | admissions.Refusal;

/** How the reading of a body ended. */
type UploadEnd = { readonly kind: "complete"; } | { readonly kind: "aborted"; } | admissions.Refusal;

export interface UploadPorts {
    readonly clock: clocks.Clock;
    readonly memory: budgets.MemoryBudget;
    readonly fragments: fragmentPaces.FragmentPace;
}

export interface UploadInput {
    readonly request: http.IncomingMessage;
    /** Owner of the memory. */
    readonly owner: string;
    /** Largest body in bytes. */
    readonly limitBytes: number;
    readonly deadlineAt: number;
    /** Asks for the body if its caller waits for that. */
    readonly onAccept: () => void;
}

const EMPTY_BODY = Buffer.alloc(0);

export class Upload {
    /** Time in milliseconds for which it has waited for memory. */
    waitedMs = 0;
    private isCancelled = false;
    private settle: ((end: UploadEnd) => void) | undefined;

    constructor(private readonly ports: UploadPorts, private readonly input: UploadInput) {}

    /** Resolves with `aborted` when the caller disconnects before the end of the body, or after `cancel`. */
    async receive(): Promise<UploadResult> {
        const { request, limitBytes, onAccept } = this.input;
        const declaredBytes = messageHeads.requestBytes(request.headers);
        if (declaredBytes !== undefined && declaredBytes > limitBytes) {
            return tooLarge(`more than ${limitBytes} bytes`);
        }
        const buffer = bodyBuffers.createBodyBuffer(declaredBytes, limitBytes);
        const bytes = CALL_BYTES + buffer.bytesBefore(CHUNK_BYTES);
        if (!this.ports.memory.canEverHold("upload", bytes)) {
            // Another entry may have more memory, so that this is no 413.
            return exhausted(bytes);
        }
        const reservation = await this.reserve(bytes);
        if (this.isCancelled || request.destroyed) {
            reservation?.[Symbol.dispose]();
            return { kind: "aborted" };
        }
        if (reservation === undefined) {
            return exhausted(bytes);
        }
        if (declaredBytes === 0) {
            return { kind: "body", body: EMPTY_BODY, memory: reservation };
        }
        onAccept();
        const memory = {
            [Symbol.dispose]: () => {
                buffer.release();
                reservation[Symbol.dispose]();
            },
        };
        using pace = this.ports.fragments.begin(request);
        const end = await this.read(buffer, reservation, pace);
        if (end.kind !== "complete") {
            const isUnread = pace.abandon(this.ports.clock.now());
            memory[Symbol.dispose]();
            // Nothing can follow a body that is not read to its end.
            return end.kind === "refused" && isUnread ? { ...end, closesConnection: true } : end;
        }
        const body = buffer.complete();
        reservation.shrink(reservation.bytes - CALL_BYTES - body.length);
        return { kind: "body", body, memory };
    }

    /** Stops reading; what has arrived is dropped. */
    cancel(): void {
        this.isCancelled = true;
        this.settle?.({ kind: "aborted" });
    }

    private read(
        buffer: bodyBuffers.BodyBuffer,
        reservation: reservations.Reservation,
        pace: fragmentPaces.UploadPace,
    ): Promise<UploadEnd> {
        const { request, limitBytes } = this.input;
        const isChunked = messageHeads.requestBytes(request.headers) === undefined;
        let chunks = 0;
        return new Promise(resolve => {
            const settle = (end: UploadEnd) => {
                this.settle = undefined;
                request.off("data", onData).off("end", onEnd).off("close", onAbort);
                resolve(end);
            };
            const onData = (chunk: Buffer) => {
                if (buffer.length + chunk.length > limitBytes) {
                    settle(tooLarge(`more than ${limitBytes} bytes`));
                    return;
                }
                if (isChunked && !pace.count(chunk.length, this.ports.clock.now())) {
                    settle(tooFragmented(`${buffer.length} bytes in ${chunks} chunks`));
                    return;
                }
                buffer.add(chunk);
                chunks++;
                const missingBytes = CALL_BYTES + buffer.bytesBefore(CHUNK_BYTES) - reservation.bytes;
                if (missingBytes > 0 && !reservation.tryGrow(missingBytes)) {
                    if (buffer.length < chunks * chunkCosts.CHUNK_COST_BYTES) {
                        // While it waited, the runtime would keep each of its small chunks, in memory that nothing counts.
                        settle(exhausted(reservation.bytes + missingBytes));
                        return;
                    }
                    request.pause();
                    void this.grow(reservation, missingBytes).then(refusal => {
                        if (refusal !== undefined) {
                            this.settle?.(refusal);
                        }
                        else if (this.settle !== undefined) {
                            request.resume();
                        }
                    });
                }
            };
            const onEnd = () => settle({ kind: "complete" });
            const onAbort = () => settle({ kind: "aborted" });
            this.settle = settle;
            request.on("data", onData).on("end", onEnd).on("error", onAbort).on("close", onAbort);
        });
    }

    /** Waits for more memory. Undefined once there is. */
    private async grow(
        reservation: reservations.Reservation,
        bytes: number,
    ): Promise<admissions.Refusal | undefined> {
        if (!this.ports.memory.canEverHold("upload", reservation.bytes + bytes)) {
            return exhausted(reservation.bytes + bytes);
        }
        const growth = await this.reserve(bytes);
        if (growth === undefined) {
            return exhausted(reservation.bytes + bytes);
        }
        reservation.absorb(growth);
        return undefined;
    }

    /** Reserves memory, after a short wait if there is none. */
    private async reserve(bytes: number): Promise<reservations.Reservation | undefined> {
        const { memory, clock } = this.ports;
        const startedAt = clock.now();
        const remainingMs = this.input.deadlineAt - startedAt;
        const waitMs = Math.min(MAXIMUM_WAIT_MS, remainingMs * MAXIMUM_WAIT_SHARE);
        const reservation = await memory.reserve(this.input.owner, "upload", bytes, waitMs);
        this.waitedMs += clock.now() - startedAt;
        return reservation;
    }
}

function tooLarge(detail: string): admissions.Refusal {
    return { kind: "refused", failure: "call-too-large", detail, closesConnection: true };
}

function tooFragmented(detail: string): admissions.Refusal {
    return {
        kind: "refused",
        failure: "call-too-fragmented",
        detail,
        retryAfterMs: RETRY_AFTER_MS,
        closesConnection: true,
    };
}

function exhausted(bytes: number): admissions.Refusal {
    const detail = `${bytes} bytes`;
    return { kind: "refused", failure: "memory-exhausted", detail, retryAfterMs: RETRY_AFTER_MS };
}
