/** Converts failures to and from their protocol buffer message. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import type * as messages from "./gen/ibisstep/v1/common_pb.js";

export interface FailureMessage {
    readonly kind: string;
    readonly detail: string;
    readonly retryAfterMs: number;
}

export function encode(failure: failures.Failure): FailureMessage {
    return { kind: failure.kind, detail: failure.detail, retryAfterMs: Math.ceil(failure.retryAfterMs ?? 0) };
}

/** Decodes a failure. A kind that this version does not know becomes `internal-error`, whose outcome is unknown. */
export function decode(message: messages.Failure): failures.Failure {
    const kind = Object.hasOwn(catalogue.failures, message.kind)
        ? message.kind as failures.FailureKind
        : "internal-error";
    const detail = kind === message.kind ? message.detail : `${message.kind}: ${message.detail}`;
    return message.retryAfterMs === 0 ? { kind, detail } : { kind, detail, retryAfterMs: message.retryAfterMs };
}
