/** Guards against calls whose end is misread and against keys of callers that reach a service. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as clock from "../../src/clock/clock.js";
import * as serviceClient from "../../src/idempotency/service-client.js";
import type * as manifest from "../../src/manifest/types.js";
import * as bookingServices from "../../stand-ins/booking-service/booking-service.js";

const ROUTE = { lookupPath: "/bookings/lookup/{key}" } as manifest.Route;

function booking(serviceKey: string, change: Partial<serviceClient.ServiceCall> = {}): serviceClient.ServiceCall {
    return {
        method: "POST",
        target: "/bookings",
        headers: [{ name: "Content-Type", value: "application/json" }],
        body: Buffer.from("{}"),
        requestId: "request-1",
        serviceKey,
        timeoutMs: 2000,
        ...change,
    };
}

async function withService(
    body: (
        service: bookingServices.BookingService,
        client: serviceClient.ServiceClient,
    ) => Promise<void>,
    maximumBytes?: number,
): Promise<void> {
    await using service = await bookingServices.createBookingService();
    await using client = new serviceClient.ServiceClient(service.address, clock.systemClock, maximumBytes);
    await body(service, client);
}

testing.test("service client: no credential and no header of the connection reaches the service", () =>
    withService(async (service, client) => {
        const headers = [
            { name: "Content-Type", value: "application/json" },
            { name: "Authorization", value: "Bearer secret" },
            { name: "Cookie", value: "secret" },
            { name: "X-Api-Key", value: "secret" },
            { name: "Connection", value: "X-Hop, close" },
            { name: "X-Hop", value: "secret" },
            { name: "Idempotency-Key", value: "key of the caller" },
            { name: "X-Kept", value: "kept" },
        ];
        const result = await client.call(booking("scoped-key", { headers }));
        assert.equal(result.kind, "answered");
        const seen = service.lastHeaders();
        assert.equal(JSON.stringify(seen).includes("secret"), false);
        assert.equal(seen["idempotency-key"], "scoped-key");
        assert.equal(seen["x-request-id"], "request-1");
        assert.equal(seen["x-kept"], "kept");
    }));

testing.test("service client: a refused connection proves that the call did not run, a lost answer does not", () =>
    withService(async (service, client) => {
        service.control({ crash: "after-run", restart_ms: 60_000 });
        assert.equal((await client.call(booking("a"))).kind, "lost");
        assert.equal((await client.call(booking("b"))).kind, "not-sent");
        assert.deepEqual([...service.runs], [["a", 1]]);
    }));

testing.test("service client: a call that may not start any more is not sent", () =>
    withService(async (service, client) => {
        assert.equal((await client.call(booking("a", { mayStart: () => false }))).kind, "not-sent");
        assert.equal(service.runs.size, 0);
    }));

testing.test("service client: a response over the limit is oversized, a slow one is lost", () =>
    withService(async (service, client) => {
        assert.equal((await client.call(booking("a"))).kind, "oversized");
        service.control({ delay_ms: 500 });
        assert.equal((await client.call(booking("b", { timeoutMs: 50 }))).kind, "lost");
    }, 10));

testing.test("service client: the lookup tells a call that ran from an unknown key", () =>
    withService(async (service, client) => {
        service.control({ lose_answers: 1 });
        assert.equal((await client.call(booking("a/b"))).kind, "lost");
        const ran = await client.lookup(ROUTE, "a/b", "request-1", 2000);
        assert.deepEqual(ran.kind === "ran" && JSON.parse(ran.response.body.toString()), { booking: 1, key: "a/b" });
        assert.deepEqual(await client.lookup(ROUTE, "other", "request-1", 2000), { kind: "absent" });
    }));
