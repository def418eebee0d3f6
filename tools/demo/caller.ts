/** HTTP client of the router, for the demo, the measuring tools and tests. */
import * as process from "node:process";
import type * as deployments from "../support/deployment.js";

export interface HttpResponse {
    readonly status: number;
    readonly headers: Headers;
    readonly body: string;
    readonly durationMs: number;
}

export interface StreamedResponse extends HttpResponse {
    /** Text of the response, joined from its chunks. */
    readonly text: string;
    /** Number of chunks that contain text. */
    readonly chunks: number;
    /** The stream ended with `[DONE]`. */
    readonly complete: boolean;
    readonly firstChunkMs: number;
}

/** Customer key and the entry that requests are sent to. */
export interface Caller {
    /** API key; empty for requests without authorization. */
    readonly key: string;
    /** Base URL of an entry. */
    readonly url: string;
}

/** Caller with the key of a customer; `entry` is the index of the entry, modulo the number of entries. */
export function callerOf(deployment: deployments.Deployment, customer: string, entry: number): Caller {
    const node = deployment.entries[entry % deployment.entries.length];
    return { key: deployment.keys.get(customer) ?? "", url: `http://${node.httpAddress}` };
}

/** Chat completion request. */
export interface Chat {
    readonly model: string;
    readonly system: string;
    readonly user: string;
    readonly maxTokens: number;
}

/** Sends a chat completion request without streaming. */
export async function chat(caller: Caller, chatRequest: Chat): Promise<HttpResponse> {
    return send(caller, "POST", "/v1/chat/completions", chatBody(chatRequest, false));
}

/** Streams a chat completion. `onChunk` is called each time a part of the body arrives. */
export async function streamChat(
    caller: Caller,
    chatRequest: Chat,
    onChunk: () => void = () => undefined,
): Promise<StreamedResponse> {
    const startedAt = process.hrtime.bigint();
    const response = await request(caller, "POST", "/v1/chat/completions", chatBody(chatRequest, true), {});
    let firstChunkMs = 0;
    let body = "";
    const decoder = new TextDecoder();
    for await (const part of response.body ?? []) {
        firstChunkMs ||= elapsedMs(startedAt);
        onChunk();
        body += decoder.decode(part as Uint8Array, { stream: true });
    }
    const events = body.split("\n\n").filter(line => line.startsWith("data: {")).map(line => JSON.parse(line.slice(6)));
    const texts = events.map(event => event.choices?.[0]?.delta?.content ?? "").filter(text => text !== "");
    return {
        status: response.status,
        headers: response.headers,
        body,
        durationMs: elapsedMs(startedAt),
        text: texts.join(""),
        chunks: texts.length,
        complete: body.endsWith("data: [DONE]\n\n"),
        firstChunkMs,
    };
}

/** Sends a request and reads the whole response. */
export async function send(
    caller: Caller,
    method: string,
    path: string,
    body?: object,
    headers: Readonly<Record<string, string>> = {},
): Promise<HttpResponse> {
    const startedAt = process.hrtime.bigint();
    const response = await request(caller, method, path, body, headers);
    const text = await response.text();
    return { status: response.status, headers: response.headers, body: text, durationMs: elapsedMs(startedAt) };
}

function request(
    caller: Caller,
    method: string,
    path: string,
    body: object | undefined,
    headers: Readonly<Record<string, string>>,
): Promise<Response> {
    const authorization: Record<string, string> = caller.key === "" ? {} : { authorization: `Bearer ${caller.key}` };
    return fetch(`${caller.url}${path}`, {
        method,
        headers: {
            ...authorization,
            ...(body === undefined ? {} : { "content-type": "application/json" }),
            ...headers,
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
}

function chatBody(chatRequest: Chat, stream: boolean): object {
    return {
        model: chatRequest.model,
        stream,
        max_tokens: chatRequest.maxTokens,
        messages: [
            { role: "system", content: chatRequest.system },
            { role: "user", content: chatRequest.user },
        ],
    };
}

function elapsedMs(startedAt: bigint): number {
    return Number((process.hrtime.bigint() - startedAt) / 1_000_000n);
}
