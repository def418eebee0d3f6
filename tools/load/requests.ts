/** Requests of the load measurement, through the router and directly to the engine. */
import * as undici from "undici";

const MODEL = "menu";
const SYSTEM_PROMPT = "Shared rules of the menu check. ".repeat(300);

/** Endpoint that is measured, with the form of its requests. */
export interface Target {
    readonly pool: undici.Pool;
    readonly headers: Readonly<Record<string, string>>;
    readonly path: string;
    readonly body: (index: number, maxTokens: number) => object;
}

export function routerTarget(address: string, key: string): Target {
    return {
        pool: new undici.Pool(`http://${address}`, { connections: 128 }),
        headers: { "content-type": "application/json", authorization: `Bearer ${key}` },
        path: "/v1/chat/completions",
        body: (index, maxTokens) => ({
            model: MODEL,
            stream: true,
            max_tokens: maxTokens,
            messages: [{ role: "system", content: SYSTEM_PROMPT }, { role: "user", content: `check ${index}` }],
        }),
    };
}

export function engineTarget(address: string): Target {
    return {
        pool: new undici.Pool(`http://${address}`, { connections: 128 }),
        headers: { "content-type": "application/json" },
        path: "/v1/generate",
        body: (index, maxTokens) => ({
            request_id: `direct-${index}-${Math.random()}`,
            model: MODEL,
            adapter: "",
            weights_version: "v1",
            cache_scope: "direct",
            prompt: `${SYSTEM_PROMPT}check ${index}`,
            resume_tokens: [],
            max_tokens: maxTokens,
            priority: "interactive",
            route: "chat",
        }),
    };
}

export interface Timing {
    /** Milliseconds from the start of the request to the first token. */
    readonly firstTokenMs: number;
    /** Milliseconds from the start of the request to the end of the response. */
    readonly totalMs: number;
}

/** Sends one request and reads its stream; throws when the status is not 200. */
export async function timeRequest(target: Target, index: number, maxTokens: number): Promise<Timing> {
    const startedAt = performance.now();
    const response = await target.pool.request({
        method: "POST",
        path: target.path,
        headers: target.headers,
        body: JSON.stringify(target.body(index, maxTokens)),
    });
    let firstTokenMs = Number.NaN;
    let text = "";
    for await (const part of response.body) {
        text = Number.isNaN(firstTokenMs) ? text + String(part) : "";
        if (Number.isNaN(firstTokenMs) && /"(text|content)":"[^"]/.test(text)) {
            firstTokenMs = performance.now() - startedAt;
        }
    }
    if (response.statusCode !== 200) {
        throw new Error(`status ${response.statusCode}: ${text}`);
    }
    return { firstTokenMs, totalMs: performance.now() - startedAt };
}
