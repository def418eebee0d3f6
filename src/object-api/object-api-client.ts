/** HTTP client for the platform's object API. */
import * as zod from "zod";
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import * as httpClients from "./http-client.js";
import * as types from "./types.js";

/** The store normally responds within milliseconds; without a response in this time it counts as down or slow. */
const CALL_TIMEOUT_MS = 2000;
/** Added to the wait time of a long poll to obtain the timeout of a watch. */
const WATCH_MARGIN_MS = 2000;
/** Largest value that the object API stores. */
const MAXIMUM_VALUE_BYTES = 1024 * 1024;
/** A list can hold many objects of the largest size. */
const MAXIMUM_LIST_BYTES = 64 * 1024 * 1024;
const ETAG_PATTERN = /^"(\d+)"$/;

const changesSchema = zod.object({
    revision: zod.int().nonnegative(),
    objects: zod.array(zod.object({ name: zod.string(), version: zod.int().positive(), value: zod.string() })),
});

export interface ObjectApiOptions {
    readonly clock: clocks.Clock;
    /** Timeout in milliseconds of each call except a watch. */
    readonly timeoutMs?: number;
    /** Called after each response of the store, except server errors, with the monotonic time in milliseconds. */
    readonly onResponse?: (now: number) => void;
}

/** Object store that is accessed through the HTTP interface of the platform. */
export class ObjectApiClient implements types.ObjectStore, AsyncDisposable {
    private readonly httpClient: httpClients.HttpClient;
    private readonly timeoutMs: number;

    constructor(baseUrl: string, private readonly options: ObjectApiOptions) {
        this.httpClient = new httpClients.HttpClient(new URL(baseUrl).origin, options.clock);
        this.timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
    }

    async get(name: string): Promise<outcomes.Outcome<types.StoredObject | undefined>> {
        const result = await this.read(objectPath(name), this.timeoutMs, MAXIMUM_VALUE_BYTES);
        if (!result.ok) {
            return result;
        }
        if (result.value.status === 404) {
            return outcomes.succeed(undefined);
        }
        const version = versionFromEtag(result.value);
        if (result.value.status !== 200 || version === undefined) {
            return unavailable(`status ${result.value.status} for a read of ${name}`);
        }
        return outcomes.succeed({ name, version, value: result.value.body.toString("utf8") });
    }

    async list(prefix: string): Promise<outcomes.Outcome<readonly types.StoredObject[]>> {
        const query = new URLSearchParams({ prefix });
        const changes = await this.readChanges(`/v1/objects?${query}`, this.timeoutMs);
        return changes.ok ? outcomes.succeed(changes.value.objects) : changes;
    }

    async watch(
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<outcomes.Outcome<types.ObjectChanges>> {
        const query = new URLSearchParams({ prefix, after: String(afterRevision), wait_ms: String(waitMs) });
        return this.readChanges(`/v1/watch?${query}`, waitMs + WATCH_MARGIN_MS);
    }

    async put(name: string, value: string, expectedVersion: number): Promise<outcomes.Outcome<number>> {
        const body = Buffer.from(value, "utf8");
        if (body.length > MAXIMUM_VALUE_BYTES) {
            return outcomes.fail("store-value-too-large", `${name} has ${body.length} bytes`);
        }
        const condition: Readonly<Record<string, string>> = expectedVersion === types.ABSENT
            ? { "if-none-match": "*" }
            : { "if-match": `"${expectedVersion}"` };
        const result = await this.httpClient.send({
            method: "PUT",
            target: objectPath(name),
            headers: { "content-type": "text/plain; charset=utf-8", ...condition },
            body,
            timeoutMs: this.timeoutMs,
            maximumBytes: MAXIMUM_VALUE_BYTES,
        });
        return this.classifyWrite(name, expectedVersion, result);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.httpClient[Symbol.asyncDispose]();
    }

    /**
     * Only a response that the store itself sends proves the outcome of a write. A server error may come from a gateway
     * that lost the response of the store, so the write counts as unconfirmed.
     */
    private classifyWrite(
        name: string,
        expectedVersion: number,
        result: httpClients.HttpResult,
    ): outcomes.Outcome<number> {
        if (result.kind === "not-sent") {
            return unavailable(result.detail);
        }
        if (result.kind !== "answered") {
            return unconfirmed(name, result.kind === "lost" ? result.detail : "oversized response");
        }
        const status = result.response.status;
        const version = versionFromEtag(result.response);
        if (status >= 200 && status < 300) {
            this.reportResponse();
            return version === undefined ? unconfirmed(name, "response without version") : outcomes.succeed(version);
        }
        if (status >= 500) {
            return unconfirmed(name, `status ${status}`);
        }
        this.reportResponse();
        if (status === 412) {
            return outcomes.fail("store-conflict", `${name} no longer has version ${expectedVersion}`);
        }
        if (status === 413) {
            return outcomes.fail("store-value-too-large", name);
        }
        return unavailable(`status ${status} for a write of ${name}`);
    }

    private async readChanges(target: string, timeoutMs: number): Promise<outcomes.Outcome<types.ObjectChanges>> {
        const result = await this.read(target, timeoutMs, MAXIMUM_LIST_BYTES);
        if (!result.ok) {
            return result;
        }
        if (result.value.status !== 200) {
            return unavailable(`status ${result.value.status} for a list or watch`);
        }
        return parseBody(changesSchema, result.value.body);
    }

    private async read(
        target: string,
        timeoutMs: number,
        maximumBytes: number,
    ): Promise<outcomes.Outcome<httpClients.HttpResponse>> {
        const result = await this.httpClient.send({ method: "GET", target, timeoutMs, maximumBytes });
        if (result.kind !== "answered") {
            return unavailable(result.kind === "oversized" ? `response over ${maximumBytes} bytes` : result.detail);
        }
        if (result.response.status < 500) {
            this.reportResponse();
        }
        return outcomes.succeed(result.response);
    }

    private reportResponse(): void {
        this.options.onResponse?.(this.options.clock.now());
    }
}

/** Parses a JSON body. Fails with `store-unavailable` if the body is not JSON or does not match the schema. */
export function parseBody<Value>(schema: zod.ZodType<Value>, body: Buffer): outcomes.Outcome<Value> {
    try {
        const parsed = schema.safeParse(JSON.parse(body.toString("utf8")));
        return parsed.success ? outcomes.succeed(parsed.data) : unavailable("response does not match the schema");
    }
    catch {
        return unavailable("response is not JSON");
    }
}

export function unavailable(detail: string): outcomes.FailedOutcome {
    return outcomes.fail("store-unavailable", detail);
}

function unconfirmed(name: string, detail: string): outcomes.FailedOutcome {
    return outcomes.fail("store-write-unconfirmed", `${name}: ${detail}`);
}

function objectPath(name: string): string {
    return `/v1/objects/${name.split("/").map(encodeURIComponent).join("/")}`;
}

function versionFromEtag(response: httpClients.HttpResponse): number | undefined {
    const match = ETAG_PATTERN.exec(response.headers["etag"] ?? "");
    return match ? Number(match[1]) : undefined;
}
