/** Encoding of answers and failures in the format of OpenAI chat completions. */
import * as catalogue from "../catalogue/failures.js";
import type * as failures from "../core/failure.js";
import type * as types from "./types.js";

/** End of a complete stream; never sent after a failure. */
export const DONE = "data: [DONE]\n\n";

const EMPTY_TEXT = JSON.stringify("");

/** Fields that all objects of one answer share. */
export interface AnswerHeader {
    readonly requestId: string;
    readonly model: string;
    /** Seconds since the Unix epoch. */
    readonly created: number;
}

/** Server-sent event with a JSON object. */
export function sse(object: object): string {
    return `data: ${JSON.stringify(object)}\n\n`;
}

/** First chunk of a stream. */
export function roleChunk(header: AnswerHeader): object {
    return chunk(header, { index: 0, delta: { role: "assistant", content: "" } });
}

export function tokenChunk(header: AnswerHeader, text: string): object {
    return chunk(header, { index: 0, delta: { content: text } });
}

/** Encodes the tokens of one answer as server-sent events; what all of them share is encoded once. */
export function tokenEncoder(header: AnswerHeader): (text: string) => string {
    const empty = sse(tokenChunk(header, ""));
    const textAt = empty.lastIndexOf(EMPTY_TEXT);
    const before = empty.slice(0, textAt);
    const after = empty.slice(textAt + EMPTY_TEXT.length);
    return text => before + JSON.stringify(text) + after;
}

/** Last chunk of a complete stream; `DONE` follows it. */
export function finalChunk(header: AnswerHeader, completion: types.Completion): object {
    const choice = { index: 0, delta: {}, finish_reason: completion.reason };
    return { ...chunk(header, choice), usage: usage(completion) };
}

/** Everything that follows the tokens of a stream: `[DONE]` only for a complete answer, else a typed error event. */
export function endOfStream(header: AnswerHeader, result: types.Result): string {
    if (result.ok) {
        return sse(finalChunk(header, result.value)) + DONE;
    }
    return sse(errorBody(result.failure.failure, header.requestId, result.failure.execution));
}

/** Body of a response that is not streamed. */
export function completionBody(header: AnswerHeader, text: string, completion: types.Completion): object {
    const choice = { index: 0, message: { role: "assistant", content: text }, finish_reason: completion.reason };
    return { ...common(header, "chat.completion"), choices: [choice], usage: usage(completion) };
}

/** Status of the response to a request that failed before its first byte was sent. */
export function statusOf(failure: failures.Failure): number {
    return catalogue.failures[failure.kind].status;
}

/**
 * Error body, also sent as the last event of a stream that failed. `execution` overrides the value of the catalogue,
 * for requests that had several attempts.
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

function common(header: AnswerHeader, object: string): object {
    return { id: `chatcmpl-${header.requestId}`, object, created: header.created, model: header.model };
}

function chunk(header: AnswerHeader, choice: object): object {
    return { ...common(header, "chat.completion.chunk"), choices: [choice] };
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
