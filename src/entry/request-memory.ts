/** Reserves memory for a request on its head, before its body is read, until its response has been sent. */
import * as stream from "node:stream";
import type * as failure from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as budgets from "../memory/budget.js";
import type * as reservations from "../memory/reservation.js";

/** Copies of a body that exist at once: as received, as text, as parsed, and as the message to an agent. */
const BODY_COPIES = 4;
/** Bytes that a request takes besides its body. */
const REQUEST_BYTES = 32 * 1024;
/** Bytes reserved for the response before its size is known. */
const RESPONSE_BYTES = 64 * 1024;
/** Longest wait in milliseconds for memory. */
const WAIT_MS = 500;
/** Time in milliseconds after which a refused request may be tried again. */
const RETRY_AFTER_MS = 1000;
/** Code of the error that ends a body for which there is no memory. */
export const EXHAUSTED_CODE = "ERR_MEMORY_EXHAUSTED";

/** Failure of a request whose body does not fit; it has not run. */
export const bodyExhausted: failure.Failure = {
    kind: "memory-exhausted",
    detail: "request bodies",
    retryAfterMs: RETRY_AFTER_MS,
};

export class RequestMemory implements Disposable {
    private constructor(
        private readonly body: reservations.Reservation,
        private readonly response: reservations.Reservation,
    ) {}

    /**
     * `declaredBytes` is the length of the body, undefined if the request does not tell it. Fails with `body-too-large` or
     * `memory-exhausted`; the request has not run then.
     */
    static async reserve(
        budget: budgets.MemoryBudget,
        owner: string,
        declaredBytes: number | undefined,
    ): Promise<outcomes.Outcome<RequestMemory>> {
        const bodyBytes = REQUEST_BYTES + (declaredBytes ?? 0) * BODY_COPIES;
        if (!budget.canEverHold("upload", bodyBytes)) {
            return outcomes.fail("body-too-large", "more than the memory of the process allows");
        }
        const response = budget.tryReserve(owner, "answer", RESPONSE_BYTES);
        if (response === undefined) {
            return outcomes.fail("memory-exhausted", "responses that have not been read", RETRY_AFTER_MS);
        }
        const body = await budget.reserve(owner, "upload", bodyBytes, WAIT_MS);
        if (body === undefined) {
            response[Symbol.dispose]();
            return { ok: false, failure: bodyExhausted };
        }
        return outcomes.succeed(new RequestMemory(body, response));
    }

    /** Passes a body of unknown length on as long as there is memory for it; it ends with an error otherwise. */
    meter(payload: stream.Readable): stream.Readable {
        const { body } = this;
        const meter = new stream.Transform({
            transform(chunk: Buffer, _encoding, callback) {
                const isHeld = body.tryGrow(chunk.length * BODY_COPIES);
                callback(isHeld ? undefined : exhausted(), isHeld ? chunk : undefined);
            },
        });
        payload.on("error", error => meter.destroy(error));
        return payload.pipe(meter);
    }

    /** Counts a response that is handed to the connection; its bytes are held until the caller has read them. */
    recordResponse(bytes: number): void {
        this.response.grow(Math.max(0, bytes - this.response.bytes));
    }

    [Symbol.dispose](): void {
        this.body[Symbol.dispose]();
        this.response[Symbol.dispose]();
    }
}

function exhausted(): Error {
    return Object.assign(new Error("no memory for the body"), { code: EXHAUSTED_CODE, statusCode: 503 });
}
