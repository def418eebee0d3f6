/** Client of the HTTP service to which an agent forwards calls. */
import type * as clocks from "../clock/clock.js";
import type * as manifest from "../manifest/types.js";
import * as httpClients from "../object-api/http-client.js";
import type * as settlement from "./settlement.js";

const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;
const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
const REQUEST_ID_HEADER = "x-request-id";

/** Headers that apply to one connection only (RFC 9110, section 7.6.1), and those that the client sets itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
/** Headers that can contain credentials of a caller. */
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

/** A request to the service. */
export interface ServiceCall {
    readonly method: httpClients.HttpRequest["method"];
    /** Path and query. */
    readonly target: string;
    readonly headers: readonly Header[];
    readonly body: Uint8Array;
    readonly requestId: string;
    /** Value of the `Idempotency-Key` header; empty for calls that may be repeated. */
    readonly serviceKey: string;
    readonly timeoutMs: number;
    /** Called immediately before the first byte is written; the call is not sent if it returns false. */
    readonly mayStart?: () => boolean;
}

export class ServiceClient implements AsyncDisposable {
    private readonly httpClient: httpClients.HttpClient;

    /** `address` is `host:port` of the service. */
    constructor(
        address: string,
        private readonly clock: clocks.Clock,
        private readonly maximumBytes = MAXIMUM_RESPONSE_BYTES,
    ) {
        this.httpClient = new httpClients.HttpClient(`http://${address}`, this.clock);
    }

    /** Sends a call. `not-sent` proves that it did not run, for example because the connection was refused. */
    async call(call: ServiceCall): Promise<httpClients.HttpResult> {
        const result = await this.httpClient.send({
            method: call.method,
            target: call.target,
            headers: requestHeaders(call.headers, call.serviceKey, call.requestId),
            ...(call.body.length > 0 ? { body: call.body } : {}),
            timeoutMs: call.timeoutMs,
            maximumBytes: this.maximumBytes,
            dedicatedConnection: call.serviceKey !== "",
            takesContentCodings: true,
            ...(call.mayStart === undefined ? {} : { mayStart: call.mayStart }),
        });
        return result.kind === "answered" || result.kind === "oversized"
            ? {
                ...result,
                response: { ...result.response, headers: responseHeaders(result.response.headers) },
            } as httpClients.HttpResult
            : result;
    }

    /** Asks the service whether it ran the call with the key, through the lookup path of the route. */
    async lookup(
        route: manifest.Route,
        serviceKey: string,
        requestId: string,
        timeoutMs: number,
    ): Promise<settlement.ServiceLookupResult> {
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
        const toLookupResult = RESULT_BY_STATUS.get(result.response.status);
        return toLookupResult?.(result.response) ?? { kind: "no-answer", detail: `status ${result.response.status}` };
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.httpClient[Symbol.asyncDispose]();
    }
}

/** Any other status leaves it unknown whether the call ran. */
const RESULT_BY_STATUS: ReadonlyMap<number, (response: httpClients.HttpResponse) => settlement.ServiceLookupResult> =
    new Map([
        [200, (response: httpClients.HttpResponse): settlement.ServiceLookupResult => ({ kind: "ran", response })],
        [404, (): settlement.ServiceLookupResult => ({ kind: "absent" })],
    ]);

/** Returns the headers that the service receives: without credentials and the hop-by-hop headers of the caller. */
export function requestHeaders(
    headers: readonly Header[],
    serviceKey: string,
    requestId: string,
): Readonly<Record<string, string>> {
    const hopByHopNames = connectionOptions(headers.filter(header => header.name.toLowerCase() === "connection"));
    const kept = new Map<string, string>();
    for (const header of headers) {
        const name = header.name.toLowerCase();
        const isDropped = HOP_BY_HOP_HEADERS.has(name) || CREDENTIAL_HEADERS.has(name) || hopByHopNames.has(name)
            || name === IDEMPOTENCY_KEY_HEADER;
        if (!isDropped) {
            const previous = kept.get(name);
            kept.set(name, previous === undefined ? header.value : `${previous}, ${header.value}`);
        }
    }
    kept.set(REQUEST_ID_HEADER, requestId);
    if (serviceKey !== "") {
        kept.set(IDEMPOTENCY_KEY_HEADER, serviceKey);
    }
    return Object.fromEntries(kept);
}

/** Returns the headers of a response without hop-by-hop headers. */
export function responseHeaders(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    const hopByHopNames = connectionOptions([{ name: "connection", value: headers["connection"] ?? "" }]);
    return Object.fromEntries(
        Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !hopByHopNames.has(name)),
    );
}

/** Names of the headers that the `Connection` header lists as hop-by-hop. */
function connectionOptions(headers: readonly Header[]): ReadonlySet<string> {
    return new Set(headers.flatMap(header => header.value.split(",").map(name => name.trim().toLowerCase())));
}
