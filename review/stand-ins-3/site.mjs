/** A configuration like that of the Mittagstisch sheet: a model service and a booking service, with one tenant. */

export const HOST = "jepu9.example";
export const KEY = "wu3fexd9dnn2ctnfzs98";
export const TENANT = "sese880";
export const MODEL = "daka510000";
export const MODEL_SERVICE = "huvo11a";
export const BOOKING_SERVICE = "kafi81c";
export const ROUTES = { check: "/lepu270/", note: "/xapu221/", book: "/fiti832/", lookUp: "/filo73/" };
export const AUTHORIZATION = { Authorization: `Bearer ${KEY}` };

/** Model headers of a request; `parts` are alternating ids and tokens. */
export function modelHeaders(parts, output) {
    const entries = parts.map(([id, tokens]) => `${id}:${tokens}`);
    const tokens = parts.reduce((sum, [, partTokens]) => sum + partTokens, 0);
    return { ...AUTHORIZATION, Model: MODEL, "Token-Count": `${tokens},${output}`, "Prompt-Prefix": entries.join(",") };
}

function route(name, routeType, service, more) {
    return {
        name,
        hostname: HOST,
        pathPrefix: ROUTES[name],
        routeType,
        service,
        maxAttempts: 1,
        anonymous: false,
        sticky: routeType === "streaming",
        resumable: false,
        ...more,
    };
}

export function configuration(version = 7, more = {}) {
    return {
        version,
        routes: [
            route("check", "streaming", MODEL_SERVICE, {
                timeoutMs: 5000,
                targetLatencyMs: 600,
                priority: 1,
                gapTargetMs: 250,
                maxAttempts: 2,
                resumable: true,
            }),
            route("note", "streaming", MODEL_SERVICE, {
                timeoutMs: 15_000,
                targetLatencyMs: 400,
                priority: 0,
                gapTargetMs: 250,
            }),
            route("book", "non_idempotent", BOOKING_SERVICE, { timeoutMs: 4000, targetLatencyMs: 386, priority: 2 }),
            route("lookUp", "idempotent", BOOKING_SERVICE, {
                timeoutMs: 4000,
                targetLatencyMs: 386,
                priority: 2,
                maxAttempts: 2,
            }),
        ],
        services: [
            {
                name: MODEL_SERVICE,
                healthCheck: "/health",
                maxConnections: 480,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 96,
                    kvCapacity: 115_023,
                    kvTokenBytes: 131_072,
                    linkMbps: 280_000,
                    stride: 5,
                    maxInflight: 12,
                    models: [{ name: MODEL }],
                },
            },
            { name: BOOKING_SERVICE, healthCheck: "/health", maxConnections: 96, protocol: "h1", tls: false },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        tenants: [{
            name: TENANT,
            apiKeys: [KEY],
            priority: 1,
            unit: "tokens",
            uncachedTokens: 200,
            isolated: false,
            ratePerS: 147_759,
            burst: 147_759,
        }],
        ...more,
    };
}
