/** Small calls between processes, to the store and to backend servers: JSON in, JSON out, with a timeout. */
import * as http from "node:http";

export interface ControlCall {
    readonly method: string;
    /** IP:PORT. */
    readonly address: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: unknown;
    readonly timeoutMs: number;
    /** Connections to use; without it each call opens its own. */
    readonly agent?: http.Agent;
}

/** `no-answer`: the call may have taken effect. `bad-body`: the answer is not JSON. */
export type ControlAnswer =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly headers: http.IncomingHttpHeaders;
        readonly body: unknown;
    }
    | { readonly kind: "no-answer"; readonly reason: string; };

/** Sends a call. Never throws. */
export function send(call: ControlCall): Promise<ControlAnswer> {
    return new Promise(resolve => {
        const [host, port] = call.address.split(":");
        const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
        const headers = {
            ...call.headers,
            ...body === undefined ? {} : { "Content-Type": "application/json", "Content-Length": String(body.length) },
        };
        const request = http.request({
            host,
            port,
            method: call.method,
            path: call.path,
            headers,
            agent: call.agent ?? false,
        });
        const timer = setTimeout(() => {
            request.destroy();
            resolve({ kind: "no-answer", reason: "timeout" });
        }, call.timeoutMs);
        const finish = (answer: ControlAnswer) => {
            clearTimeout(timer);
            resolve(answer);
        };
        request.on("error", error => finish({ kind: "no-answer", reason: errorCode(error) }));
        request.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => void chunks.push(chunk));
            response.on("error", error => finish({ kind: "no-answer", reason: errorCode(error) }));
            response.on("end", () => finish(decode(response, Buffer.concat(chunks))));
        });
        request.end(body);
    });
}

/** The code of a system error, or its message. */
export function errorCode(error: Error): string {
    return (error as NodeJS.ErrnoException).code ?? error.message;
}

function decode(response: http.IncomingMessage, body: Buffer): ControlAnswer {
    const { statusCode: status = 0, headers } = response;
    if (!response.complete) {
        return { kind: "no-answer", reason: "incomplete answer" };
    }
    if (body.length === 0) {
        return { kind: "answer", status, headers, body: undefined };
    }
    try {
        return { kind: "answer", status, headers, body: JSON.parse(body.toString("utf8")) };
    }
    catch {
        // A body that is no JSON is reported to the caller as an answer without a body; its status still counts.
        return { kind: "answer", status, headers, body: undefined };
    }
}
