/** HTTP client for the platform's instance list. */
import * as zod from "zod";
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import * as httpClients from "./http-client.js";
import * as objectApiClients from "./object-api-client.js";
import type * as types from "./types.js";

const CALL_TIMEOUT_MS = 2000;
/** Allows about 200 bytes per instance for 16 times the 1,210 processes that a deployment is designed for. */
const MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

const responseSchema = zod.object({
    instances: zod.array(zod.object({
        address: zod.string(),
        role: zod.enum(["entry", "agent"]),
        data_centre: zod.string(),
        state: zod.enum(["live", "leaving"]),
    })),
});

export class InstanceListClient implements types.InstanceList, AsyncDisposable {
    private readonly httpClient: httpClients.HttpClient;

    constructor(baseUrl: string, clock: clocks.Clock, private readonly timeoutMs = CALL_TIMEOUT_MS) {
        this.httpClient = new httpClients.HttpClient(new URL(baseUrl).origin, clock);
    }

    async list(): Promise<outcomes.Outcome<readonly types.ListedInstance[]>> {
        const result = await this.httpClient.send({
            method: "GET",
            target: "/v1/instances",
            timeoutMs: this.timeoutMs,
            maximumBytes: MAXIMUM_RESPONSE_BYTES,
        });
        if (result.kind !== "answered") {
            return objectApiClients.unavailable(result.kind === "oversized" ? "response too large" : result.detail);
        }
        if (result.response.status !== 200) {
            return objectApiClients.unavailable(`the instance list returned status ${result.response.status}`);
        }
        const parsed = objectApiClients.parseBody(responseSchema, result.response.body);
        return parsed.ok ? outcomes.succeed(parsed.value.instances.map(toListedInstance)) : parsed;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.httpClient[Symbol.asyncDispose]();
    }
}

function toListedInstance(source: zod.infer<typeof responseSchema>["instances"][number]): types.ListedInstance {
    return { address: source.address, role: source.role, dataCentre: source.data_centre, state: source.state };
}
