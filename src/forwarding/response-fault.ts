/** Whether a response is valid for the call that it answers. */
import type * as http from "node:http";
import * as messageHeads from "../http/message-head.js";
import type * as dialects from "./dialect.js";

export const MISDIRECTED_REQUEST = 421;
const EVENT_STREAM = "text/event-stream";

export interface Expectation {
    readonly callId: string;
    /** The connection has carried another call before. */
    readonly isReused: boolean;
    /** Events of a stream have been relayed to the caller, which this response has to continue. */
    readonly continuesStream: boolean;
}

/** Reason why the response is not valid for this call; undefined if it is valid. */
export function responseFault(
    head: dialects.ResponseHead,
    response: http.IncomingMessage,
    { callId, isReused, continuesStream }: Expectation,
): string | undefined {
    const status = response.statusCode ?? 0;
    if (isReused && head.callId === undefined) {
        return "response without a call id on a connection that was used before";
    }
    if (head.callId !== undefined && head.callId !== callId) {
        return "response to another call";
    }
    if (isSuccess(status) && (!head.isSealed || head.callId === undefined)) {
        return "response without a seal or call id";
    }
    const contentFault = messageHeads.contentFault(response.headers);
    if (contentFault !== undefined) {
        return contentFault;
    }
    const isRefusal = head.isNotExecuted || status === MISDIRECTED_REQUEST;
    return continuesStream && !isRefusal && !isEventStream(response)
        ? `the stream could not be resumed: status ${status}`
        : undefined;
}

/** The response is a successful event stream. */
export function isEventStream(response: http.IncomingMessage): boolean {
    return isSuccess(response.statusCode ?? 0) && (response.headers["content-type"] ?? "").startsWith(EVENT_STREAM);
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}
