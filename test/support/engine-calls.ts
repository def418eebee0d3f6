/** Calls of the engine stand-in for tests that do not use the client of the agent. */
import * as undici from "undici";

export interface Received {
    readonly type: string;
    readonly [field: string]: unknown;
}

export interface Answer {
    readonly status: number;
    readonly events: readonly Received[];
    /** The connection broke before the response was complete. */
    readonly broken: boolean;
}

export function generateBody(changes: object = {}): object {
    return {
        request_id: "request-1",
        model: "menu",
        adapter: "",
        weights_version: "1",
        cache_scope: "scope",
        prompt: "hello",
        resume_tokens: [],
        max_tokens: 5,
        priority: "interactive",
        ...changes,
    };
}

export async function post(address: string, path: string, body: object): Promise<{ status: number; json: unknown; }> {
    const response = await undici.request(`http://${address}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
    });
    return { status: response.statusCode, json: await response.body.json() };
}

export async function get(address: string, path: string): Promise<unknown> {
    const response = await undici.request(`http://${address}${path}`);
    return await response.body.json();
}

export async function generate(address: string, changes: object = {}): Promise<Answer> {
    const response = await undici.request(`http://${address}/v1/generate`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(generateBody(changes)),
    });
    let text = "";
    let broken = false;
    try {
        for await (const chunk of response.body) {
            text += String(chunk);
        }
    }
    catch {
        broken = true;
    }
    const lines = text.split("\n").filter(line => line.startsWith("data: "));
    return { status: response.statusCode, events: lines.map(line => JSON.parse(line.slice(6))), broken };
}

export interface Load {
    readonly running: number;
    readonly waiting: number;
}

/** Reads the load report until it satisfies the condition. */
export async function untilLoad(address: string, condition: (load: Load) => boolean): Promise<void> {
    while (!condition(await get(address, "/v1/load") as Load)) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
