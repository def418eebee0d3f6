/** A caller of the router, as a client application would be. */
import * as process from "node:process";
import type * as deployments from "../support/deployment.js";

export interface Answer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: string;
    readonly durationMs: number;
}

export interface StreamedAnswer extends Answer {
    /** Text of the answer, joined from the chunks. */
    readonly text: string;
    readonly chunks: number;
    /** The stream ended with `[DONE]`. */
    readonly complete: boolean;
    readonly firstChunkMs: number;
}

export interface Caller {
    readonly key: string;
    /** Base URL of an entry. */
    readonly url: string;
}

export function callerOf(deployment: deployments.Deployment, customer: string, entry: number): Caller {
    const node = deployment.entries[entry % deployment.entries.length];
    return { key: deployment.keys.get(customer) ?? "", url: `http://${node.httpAddress}` };
}

export interface Chat {
    readonly model: string;
    readonly system: string;
    readonly user: string;
    readonly maxTokens: number;
}

export async function chat(caller: Caller, chatRequest: Chat): Promise<Answer> {
    return send(caller, "POST", "/v1/chat/completions", chatBody(chatRequest, false));
}

/** Streams a chat. `onChunk` is called with each part as it arrives. */
export async function streamChat(
    caller: Caller,
    chatRequest: Chat,
    onChunk: () => void = () => undefined,
): Promise<StreamedAnswer> {
    const startedAt = process.hrtime.bigint();
    const response = await request(caller, "POST", "/v1/chat/completions", chatBody(chatRequest, true), {});
    let firstChunkMs = 0;
    let body = "";
    const decoder = new TextDecoder();
    for await (const part of response.body ?? []) {
        firstChunkMs ||= since(startedAt);
        onChunk();
        body += decoder.decode(part as Uint8Array, { stream: true });
    }
    const events = body.split("\n\n").filter(line => line.startsWith("data: {")).map(line => JSON.parse(line.slice(6)));
    const texts = events.map(event => event.choices?.[0]?.delta?.content ?? "").filter(text => text !== "");
    return {
        status: response.status,
        headers: response.headers,
        body,
        durationMs: since(startedAt),
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
): Promise<Answer> {
    const startedAt = process.hrtime.bigint();
    const response = await request(caller, method, path, body, headers);
    const text = await response.text();
    return { status: response.status, headers: response.headers, body: text, durationMs: since(startedAt) };
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

function since(startedAt: bigint): number {
    return Number((process.hrtime.bigint() - startedAt) / 1_000_000n);
}
