/** Requests of the load command: through the router, and straight to the engine. */
import * as undici from "undici";

const MODEL = "menu";
const SYSTEM = "Shared rules of the menu check. ".repeat(300);

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
            messages: [{ role: "system", content: SYSTEM }, { role: "user", content: `check ${index}` }],
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
            prompt: `${SYSTEM}check ${index}`,
            resume_tokens: [],
            max_tokens: maxTokens,
            priority: "interactive",
            route: "chat",
        }),
    };
}

export interface Timing {
    /** Milliseconds to the first token, and to the end. */
    readonly firstTokenMs: number;
    readonly totalMs: number;
}

/** Sends one request and reads its stream; throws on any other status than 200. */
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
