/** HTTP client of the engine stand-in, for tests that do not use the engine client of the agent. */
import * as undici from "undici";

export interface StreamEvent {
    readonly type: string;
    readonly [field: string]: unknown;
}

export interface GenerateResponse {
    readonly status: number;
    readonly events: readonly StreamEvent[];
    /** The connection broke before the response was complete. */
    readonly connectionLost: boolean;
}

/** Body of a generation request; `overrides` replaces its defaults. */
export function generateRequest(overrides: object = {}): object {
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
        ...overrides,
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

/** Sends a generation request and reads its event stream to the end. */
export async function generate(address: string, overrides: object = {}): Promise<GenerateResponse> {
    const response = await undici.request(`http://${address}/v1/generate`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(generateRequest(overrides)),
    });
    let text = "";
    let connectionLost = false;
    try {
        for await (const chunk of response.body) {
            text += String(chunk);
        }
    }
    catch {
        connectionLost = true;
    }
    const lines = text.split("\n").filter(line => line.startsWith("data: "));
    return {
        status: response.statusCode,
        events: lines.map(line => JSON.parse(line.slice(6))),
        connectionLost,
    };
}

export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
}

/** Polls the load report until it satisfies the condition. */
export async function waitForLoad(address: string, condition: (load: LoadReport) => boolean): Promise<void> {
    while (!condition(await get(address, "/v1/load") as LoadReport)) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
