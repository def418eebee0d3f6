/** Guards against wrong decoding of the platform's records, headers and settings, and against malformed records. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as dialects from "../../platform/dialect.js";
import * as records from "../../platform/records.js";
import * as settings from "../../platform/settings.js";
import * as ledgers from "../../src/quota/ledger.js";
import type * as storeAccess from "../../src/store-access/types.js";

const SEED = 31;
const { dialect } = dialects;

function storedRecord(name: string, spec: unknown, isDeleting = false): storeAccess.StoredRecord {
    return { name, revision: 7, spec, isDeleting };
}

const SERVER = {
    service: "menu",
    address: "10.0.0.9:8080",
    zone: "one",
    version: "v1",
    slots: 96,
    state: "ready",
    models: [{ name: "m", version: 3, adapters: [] }],
    born: 1234,
};

testing.test("a server is decoded with its weights, and one that is marked for removal is draining", () => {
    const { values } = records.decodeServers([storedRecord("i-1", SERVER), storedRecord("i-2", SERVER, true)]);
    assert.deepEqual(values.map(server => [server.id, server.state, server.weights.get("m")]), [
        ["i-1", "ready", 3],
        ["i-2", "draining", 3],
    ]);
    assert.equal(values[0]?.startedAt, 1234);
});

testing.test("guards against malformed server records: they are reported, and valid ones are decoded", () => {
    const invalid = [
        { ...SERVER, state: "resting" },
        { ...SERVER, address: 5 },
        { ...SERVER, slots: "many" },
        "text",
        undefined,
        [],
    ].map((spec, index) => storedRecord(`x-${index}`, spec));
    const decoded = records.decodeServers([...invalid, storedRecord("i-1", SERVER)]);
    assert.deepEqual(decoded.values.map(server => server.id), ["i-1"]);
    assert.equal(decoded.invalid.length, invalid.length);
});

testing.test("odd entries: guards against a server to which no socket connects, or that would take all calls", () => {
    const odd: readonly Readonly<Record<string, unknown>>[] = [
        ...["10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999", "999.1.1.1:80", "10.0.9:80", "10.0.0.9", "h:80"]
            .map(address => ({ address })),
        ...[0, -1, 1.5, 1e308, Infinity, 2 ** 53 + 2, 65_537, "8", [8]].map(slots => ({ slots })),
        ...["constructor", "__proto__", ["ready"]].map(state => ({ state })),
        ...["x", -1, 0.5, 1e308, Infinity, 2 ** 53 - 1].map(born => ({ born })),
        ...["x", { m: 1 }, [undefined], [{ name: "m" }], [{ name: 1, version: 1 }], [{ name: "m", version: 1e308 }]]
            .map(models => ({ models })),
        ...["soon", [3000], Infinity].map(coldRemainingMs => ({ coldRemainingMs })),
        { version: 3 },
        { zone: ["one"] },
        { service: {} },
    ];
    const entries = odd.map((fields, index) => storedRecord(`x-${index}`, { ...SERVER, ...fields }));
    const decoded = records.decodeServers([...entries, storedRecord("i-1", SERVER)]);
    assert.deepEqual(decoded.values.map(server => server.id), ["i-1"]);
    assert.equal(decoded.invalid.length, odd.length);
});

testing.test("cold starts and cold times are decoded, and a service without them has none", () => {
    const services = [
        { name: "menu", coldStartS: 3, coldPerS: 16 },
        { name: "slow", coldStartS: 2.5, coldPerS: "x" },
        { name: "desk", coldStartS: 0, coldPerS: 0 },
        { name: "lookup" },
    ];
    const [decoded] = records.decodeConfigurations([storedRecord("main", { version: 1, services })]).values;
    assert.deepEqual([...decoded!.services.values()].map(service => service.coldStart), [
        { durationMs: 3000, requestsPerSecond: 16 },
        { durationMs: 2500, requestsPerSecond: undefined },
        undefined,
        undefined,
    ]);
    const { values } = records.decodeServers([
        storedRecord("i-1", SERVER),
        storedRecord("i-2", { ...SERVER, coldRemainingMs: 1800.5 }),
        storedRecord("i-3", { ...SERVER, coldRemainingMs: -1 }),
        storedRecord("i-4", { ...SERVER, coldRemainingMs: 1e300 }),
    ]);
    assert.deepEqual(values.map(server => server.coldRemainingMs), [undefined, 1800.5, 0, 600_000]);
    assert.deepEqual(values.map(server => server.revision), [7, 7, 7, 7]);
    const coldMs = ["2100", "0.5", "x", ""].map(text => dialect.decodeResponse({ "cold-ms": text }).coldMs);
    assert.deepEqual([...coldMs, dialect.decodeResponse({}).coldMs], [2100, 0.5, undefined, undefined, undefined]);
});

testing.test("homes of routes and customers are decoded; other values than names of regions are left out", () => {
    const route = { hostname: "a", pathPrefix: "/a/", routeType: "idempotent", service: "s" };
    const lists = [["north", "south"], [], undefined, ["north", 7], "north"];
    const spec = {
        version: 1,
        routes: lists.map(allowedRegions => ({ ...route, allowedRegions })),
        tenants: lists.map(allowedRegions => ({ name: "club", allowedRegions })),
    };
    const [decoded] = records.decodeConfigurations([storedRecord("main", spec)]).values;
    const expected = [["north", "south"], [], [], ["north"], []];
    assert.deepEqual(decoded?.routes.map(({ homes }) => homes), expected);
    assert.deepEqual(decoded?.customers.map(({ homes }) => homes), expected);
});

testing.test("guards against times that a timer cannot wait for, and against inherited names of kinds", () => {
    const route = { hostname: "a", pathPrefix: "/a/", routeType: "idempotent", service: "s" };
    const limits = { idleTimeoutMs: -5, headerTimeoutMs: 3e9 };
    const routes = [{ ...route, timeoutMs: 1e300 }, { ...route, routeType: "constructor" }];
    const [decoded] = records.decodeConfigurations([storedRecord("main", { version: 1, routes, limits })]).values;
    assert.deepEqual(decoded?.routes.map(({ timeoutMs }) => timeoutMs), [2 ** 31 - 1]);
    assert.deepEqual([decoded?.limits.idleTimeoutMs, decoded?.limits.headerTimeoutMs], [1, 2 ** 31 - 1]);
    const status = { target: "v2", state: "toString" };
    const order = { ...storedRecord("s", { service: "s", target: "v2", durationS: 5 }), status };
    assert.equal(records.decodeRollouts([order]).values[0]?.state, undefined);
});

testing.test("guards against numbers in headers that are not exact", () => {
    const endless = "9".repeat(400);
    const head = dialect.decodeCall({ "request-id": "r", "deadline-ms": endless, "last-event-id": endless });
    assert.deepEqual([head?.deadlineMs, head?.resumeAfter], [undefined, undefined]);
    const answer = dialect.decodeResponse({
        "server-limit": endless,
        "retry-after": endless,
        "weight-versions": endless,
    });
    assert.deepEqual([answer.requestsPerSecond, answer.retryAfterMs, answer.weightsVersion], [
        undefined,
        undefined,
        undefined,
    ]);
});

testing.test("guards against statements of load that cannot be read", () => {
    const decode = (text: string | undefined) => dialect.decodeResponse({ "server-load": text }).load;
    assert.deepEqual(decode("3,0,8"), { running: 3, waiting: 0, slots: 8, pace: 1 });
    assert.deepEqual(decode(" 3, 1 ,8, 250 "), { running: 3, waiting: 1, slots: 8, pace: 2.5 });
    assert.deepEqual(decode("3,1,8,90,7"), { running: 3, waiting: 1, slots: 8, pace: 0.9 }, "a later figure");
    for (const pace of ["", "-250", "0", "fast", "1e9", "9".repeat(400)]) {
        assert.deepEqual(decode(`3,1,8,${pace}`), { running: 3, waiting: 1, slots: 8, pace: 1 }, pace);
    }
    for (
        const text of [undefined, "", "3", "3,1", "3,1,", "-3,1,8", "3,+1,8", "a,b,c", "3;1;8", "0x3,1,8", "NaN,1,8"]
    ) {
        assert.equal(decode(text), undefined, text);
    }
    assert.equal(dialect.decodeResponse({}).load, undefined);
});

testing.test("no value makes a decoder throw", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.jsonValue(), value => {
            records.decodeServers([storedRecord("a", value)]);
            records.decodeWeights([storedRecord("a", value)], 1);
            records.serverVersion(storedRecord("a", value));
            records.weightsVersion(storedRecord("a", value));
            records.decodeConfigurations([
                storedRecord("main", value),
                storedRecord("main", { version: 1, routes: value }),
            ]);
        }),
        { seed: SEED },
    );
});

testing.test("a configuration is decoded with its routes, cache stores, customers and rate units", () => {
    const spec = {
        version: 7,
        routes: [
            {
                name: "r",
                hostname: "A.example",
                pathPrefix: "/a/",
                routeType: "streaming",
                timeoutMs: 5000,
                trafficSplit: [{ service: "s", weight: 90 }, { service: "t", weight: 10 }],
                maxAttempts: 2,
                resumable: true,
            },
            { hostname: "b.example", pathPrefix: "/b/", routeType: "non_idempotent", service: "t" },
            { hostname: "b.example", pathPrefix: "/c/", routeType: "unheard-of", service: "t" },
        ],
        services: [{ name: "s", maxConnections: 5 }, {
            name: "k",
            kvStoreAddr: "10.0.0.1:1",
            zone: "one",
            maxInflight: 12,
        }],
        tenants: [{ name: "c", apiKeys: ["key"], unit: "tokens", ratePerS: 10, burst: 20, isolated: true }],
    };
    const configuration = records.decodeConfigurations([storedRecord("main", spec), storedRecord("other", spec)])
        .values[0]!;
    assert.deepEqual(configuration.routes.map(route => [route.host, route.kind, route.targets.length]), [
        ["a.example", "stream", 2],
        ["b.example", "at-most-once", 1],
    ]);
    assert.deepEqual(configuration.cacheStores.map(store => [store.address, store.maximumFollowers]), [[
        "10.0.0.1:1",
        12,
    ]]);
    assert.equal(configuration.customers[0]?.rateUnit, "tokens");
});

testing.test("guards against forwarding a caller's key or a reserved header to a server", () => {
    const rawHeaders = [
        ...["Host", "a.example", "Request-Id", "r1", "Authorization", "Bearer secret"],
        ...["Tenant", "other", "Cache-Salt", "mine", "Kv-Fetch", "10.0.0.1:1", "Hold", "x", "Pin-Ms", "9"],
        ...["Kv-Backup", "10.0.0.1:1", "Kv-From", "10.0.0.1:1/h", "Expect-Version", "1", "Request-Priority", "0"],
        ...["Connection", "keep-alive, X-Hop", "X-Hop", "1", "Length-Hint", "40", "Prompt-Prefix", "a:1,b:2"],
    ];
    assert.deepEqual(dialect.forwardedHeaders(rawHeaders), [
        ...["Host", "a.example", "Request-Id", "r1", "Length-Hint", "40", "Prompt-Prefix", "a:1,b:2"],
    ]);
});

testing.test("the head of a call is decoded", () => {
    const head = dialect.decodeCall({
        "request-id": "r1",
        "deadline-ms": "5000",
        "authorization": "Bearer secret",
        "model": "m",
        "token-count": "1460,80",
        "prompt-prefix": "5c1e07a2:800,91bd3f06:410",
        "last-event-id": "12",
    });
    assert.deepEqual(head, {
        id: "r1",
        deadlineMs: 5000,
        key: "secret",
        model: "m",
        promptTokens: 1460,
        maximumOutputTokens: 80,
        expectedOutputTokens: 80,
        hasTokenCounts: true,
        parts: [{ id: "5c1e07a2", tokens: 800 }, { id: "91bd3f06", tokens: 410 }],
        resumeAfter: 12,
    });
    assert.equal(dialect.decodeCall({}), undefined);
    const hintedHead = dialects.dialect.decodeCall({
        "request-id": "r1",
        "token-count": "1460,80",
        "length-hint": "12",
    });
    assert.deepEqual([hintedHead?.maximumOutputTokens, hintedHead?.expectedOutputTokens], [80, 12]);
});

testing.test("guards against a token count without end that removes the limit of its customer", () => {
    const account = { name: "gallery", tokensPerSecond: 1000, burstTokens: 1000 };
    const ledger = new ledgers.QuotaLedger({ overdraftTokens: 0, silenceMs: () => 700, expiryMs: 30_000 });
    ledger.track([account], 0);
    const head = dialect.decodeCall({ "request-id": "r", "token-count": `${"9".repeat(310)},10` });
    const tokens = head!.promptTokens + head!.maximumOutputTokens;
    assert.equal(ledger.admit(account, tokens, 5000), 0);
    ledger.refund(account, tokens, 5000);
    assert.equal(ledger.admit(account, 1000, 5000), 0);
    assert.equal(ledger.admit(account, 1000, 5000), 1000);
    assert.ok(Object.values(ledger.spending()).every(Number.isSafeInteger));
    const parts = dialect.decodeCall({ "request-id": "r", "prompt-prefix": "a:1e300,b:-5,c:10" })!.parts;
    assert.deepEqual(parts, [{ id: "c", tokens: 10 }]);
});

testing.test("a refusal states the retry delay in seconds", () => {
    assert.deepEqual(dialect.refusalHeaders("r1", 250), ["Request-Id", "r1", "Retry-After", "0.250"]);
});

testing.test("settings without required fields are rejected with the names of the fields", () => {
    const file = { ip: "10.0.0.1", nodeName: "n", zone: "one", internalPorts: [7600, 7615], listen: {} };
    const failed = settings.decode({ ...file, platform: { address: "10.9.0.1:1" } }, "entry");
    assert.equal(!failed.ok && failed.failure.detail, "missing: listen.front, listen.ready");
    const listen = { front: "10.0.0.1:1", ready: "10.0.0.1:2" };
    const succeeded = settings.decode(
        { ...file, listen, platform: { address: "10.9.0.1:1" }, seeds: ["10.0.0.2:9"] },
        "entry",
    );
    assert.deepEqual(succeeded.ok && succeeded.value.process.seeds, ["10.0.0.2:7600"]);
});
