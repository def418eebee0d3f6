/** Encodes responses and failures in the format of OpenAI chat completions. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import type * as types from "./types.js";

/** Marks the end of a complete stream; never sent after a failure. */
export const DONE = "data: [DONE]\n\n";

const ENCODED_EMPTY_TEXT = JSON.stringify("");

/** Fields that all objects of one response share. */
export interface ResponseMetadata {
    readonly requestId: string;
    readonly model: string;
    /** Seconds since the Unix epoch. */
    readonly created: number;
}

/** Encodes an object as the JSON data of a server-sent event. */
export function encodeEvent(object: object): string {
    return `data: ${JSON.stringify(object)}\n\n`;
}

/** First chunk of a stream. */
export function roleChunk(metadata: ResponseMetadata): object {
    return chunk(metadata, { index: 0, delta: { role: "assistant", content: "" } });
}

export function tokenChunk(metadata: ResponseMetadata, text: string): object {
    return chunk(metadata, { index: 0, delta: { content: text } });
}

/** Returns an encoder of tokens as server-sent events. The fields common to all tokens are encoded only once. */
export function tokenEncoder(metadata: ResponseMetadata): (text: string) => string {
    const emptyEvent = encodeEvent(tokenChunk(metadata, ""));
    const textOffset = emptyEvent.lastIndexOf(ENCODED_EMPTY_TEXT);
    const prefix = emptyEvent.slice(0, textOffset);
    const suffix = emptyEvent.slice(textOffset + ENCODED_EMPTY_TEXT.length);
    return text => prefix + JSON.stringify(text) + suffix;
}

/** Last chunk of a complete stream, sent before `DONE`. */
export function finalChunk(metadata: ResponseMetadata, completion: types.Completion): object {
    const choice = { index: 0, delta: {}, finish_reason: completion.reason };
    return { ...chunk(metadata, choice), usage: usage(completion) };
}

/** Returns the end of a stream: final chunk and `[DONE]` for a complete response, otherwise a typed error event. */
export function endOfStream(metadata: ResponseMetadata, result: types.Result): string {
    if (result.ok) {
        return encodeEvent(finalChunk(metadata, result.value)) + DONE;
    }
    return encodeEvent(errorBody(result.failure.failure, metadata.requestId, result.failure.execution));
}

/** Returns the body of a non-streaming response. */
export function completionBody(metadata: ResponseMetadata, text: string, completion: types.Completion): object {
    const choice = { index: 0, message: { role: "assistant", content: text }, finish_reason: completion.reason };
    return { ...commonFields(metadata, "chat.completion"), choices: [choice], usage: usage(completion) };
}

/** Returns the HTTP status for a failure that occurs before the first byte of the response. */
export function statusOf(failure: failures.Failure): number {
    return catalogue.failures[failure.kind].status;
}

/**
 * Returns the error body, which is also the last event of a failed stream. `execution` overrides the value of the
 * catalogue, for requests with several attempts.
 */
export function errorBody(failure: failures.Failure, requestId: string, execution?: failures.Execution): object {
    const definition = catalogue.failures[failure.kind];
    return {
        error: {
            message: definition.message(failure.detail),
            type: errorType(definition.status),
            code: failure.kind,
            execution: execution ?? definition.execution,
            retry: definition.retry,
            ...(failure.retryAfterMs === undefined ? {} : { retry_after_ms: Math.ceil(failure.retryAfterMs) }),
            request_id: requestId,
        },
    };
}

function commonFields(metadata: ResponseMetadata, object: string): object {
    return { id: `chatcmpl-${metadata.requestId}`, object, created: metadata.created, model: metadata.model };
}

function chunk(metadata: ResponseMetadata, choice: object): object {
    return { ...commonFields(metadata, "chat.completion.chunk"), choices: [choice] };
}

function usage(completion: types.Completion): object {
    return {
        prompt_tokens: completion.promptTokens,
        completion_tokens: completion.count,
        total_tokens: completion.promptTokens + completion.count,
        prompt_tokens_details: { cached_tokens: completion.cachedTokens },
    };
}

function errorType(status: number): string {
    return ERROR_TYPES[status] ?? (status < 500 ? "invalid_request_error" : "server_error");
}

const ERROR_TYPES: Readonly<Record<number, string>> = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
};
