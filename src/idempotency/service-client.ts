/** Client of the plain service beside an agent. */
import type * as clock from "../clock/clock.js";
import type * as manifest from "../manifest/types.js";
import * as httpCalls from "../object-api/http-call.js";
import type * as settlement from "./settlement.js";

const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;
const IDEMPOTENCY_KEY = "idempotency-key";
const REQUEST_ID = "x-request-id";

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the client sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);
/** Headers that can hold the key of a caller. */
const CREDENTIAL_HEADERS: ReadonlySet<string> = new Set([
    "api-key",
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
]);

export interface Header {
    readonly name: string;
    readonly value: string;
}

export interface ServiceCall {
    readonly method: httpCalls.HttpRequest["method"];
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly Header[];
    readonly body: Uint8Array;
    readonly requestId: string;
    /** Empty for calls that may be repeated. */
    readonly serviceKey: string;
    readonly timeoutMs: number;
    /** Asked directly before the first byte is written. */
    readonly mayStart?: () => boolean;
}

export class ServiceClient implements AsyncDisposable {
    private readonly caller: httpCalls.HttpCaller;

    /** `address` is `host:port` of the service. */
    constructor(
        address: string,
        private readonly time: clock.Clock,
        private readonly maximumBytes = MAXIMUM_RESPONSE_BYTES,
    ) {
        this.caller = new httpCalls.HttpCaller(`http://${address}`, this.time);
    }

    /** Runs a call. `not-sent` proves that it did not run, for example since the connection was refused. */
    async call(call: ServiceCall): Promise<httpCalls.HttpResult> {
        const result = await this.caller.send({
            method: call.method,
            target: call.target,
            headers: requestHeaders(call.headers, call.serviceKey, call.requestId),
            ...(call.body.length > 0 ? { body: call.body } : {}),
            timeoutMs: call.timeoutMs,
            maximumBytes: this.maximumBytes,
            ownConnection: call.serviceKey !== "",
            ...(call.mayStart === undefined ? {} : { mayStart: call.mayStart }),
        });
        return result.kind === "answered" || result.kind === "oversized"
            ? {
                ...result,
                response: { ...result.response, headers: responseHeaders(result.response.headers) },
            } as httpCalls.HttpResult
            : result;
    }

    /** Asks the service whether it ran the call with the key. */
    async lookup(
        route: manifest.Route,
        serviceKey: string,
        requestId: string,
        timeoutMs: number,
    ): Promise<settlement.ServiceAnswer> {
        const result = await this.call({
            method: "GET",
            target: route.lookupPath.replaceAll("{key}", encodeURIComponent(serviceKey)),
            headers: [],
            body: new Uint8Array(),
            requestId,
            serviceKey: "",
            timeoutMs,
        });
        if (result.kind !== "answered") {
            return { kind: "no-answer", detail: result.kind === "oversized" ? "response too large" : result.detail };
        }
        const answer = ANSWER_BY_STATUS.get(result.response.status);
        return answer?.(result.response) ?? { kind: "no-answer", detail: `status ${result.response.status}` };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.caller[Symbol.asyncDispose]();
    }
}

/** Any other status says nothing about the call. */
const ANSWER_BY_STATUS: ReadonlyMap<number, (response: httpCalls.HttpResponse) => settlement.ServiceAnswer> = new Map([
    [200, (response: httpCalls.HttpResponse): settlement.ServiceAnswer => ({ kind: "ran", response })],
    [404, (): settlement.ServiceAnswer => ({ kind: "absent" })],
]);

/** Headers that a service receives: no credentials, nothing that concerns the connection of the caller. */
export function requestHeaders(
    headers: readonly Header[],
    serviceKey: string,
    requestId: string,
): Readonly<Record<string, string>> {
    const named = connectionNames(headers.filter(header => header.name.toLowerCase() === "connection"));
    const kept: Record<string, string> = {};
    for (const header of headers) {
        const name = header.name.toLowerCase();
        const isDropped = CONNECTION_HEADERS.has(name) || CREDENTIAL_HEADERS.has(name) || named.has(name)
            || name === IDEMPOTENCY_KEY;
        if (!isDropped) {
            kept[name] = kept[name] === undefined ? header.value : `${kept[name]}, ${header.value}`;
        }
    }
    kept[REQUEST_ID] = requestId;
    return serviceKey === "" ? kept : { ...kept, [IDEMPOTENCY_KEY]: serviceKey };
}

/** Headers of a response that a caller may receive. */
export function responseHeaders(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    const named = connectionNames([{ name: "connection", value: headers["connection"] ?? "" }]);
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name) && !named.has(name)),
    );
}

function connectionNames(headers: readonly Header[]): ReadonlySet<string> {
    return new Set(headers.flatMap(header => header.value.split(",").map(name => name.trim().toLowerCase())));
}
