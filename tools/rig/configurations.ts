/** Versions of the configuration that the operator writes, and what each of them allows. */
import * as workers from "../../stand-ins/platform/worker.js";
import type * as randoms from "./random.js";

export const HOST = "plans.example";
export const MODEL = "layout";
export const MODEL_SERVICE = "engines";
/** Services without models; routes move between them. */
export const SIMPLE_SERVICES = ["desk", "annex"] as const;
export const PERMANENT_KEY = "key-that-stays-0001";
/** Key of the customer whose callers are heavy. */
export const HEAVY_KEY = "key-of-heavy-callers";
const TENANT = "gallery";
const HEAVY_TENANT = "printworks";
const IDLE_ROUTES = 40;
const MOVABLE_ROUTES = 4;
/** Timeouts in milliseconds of calls without and with a model. */
const SIMPLE_TIMEOUT_MS = 800;
const STREAM_TIMEOUT_MS = 5000;
/** Number of recent changes that direct calls look at. */
const RECENT_SUBJECTS = 10;

export interface Route {
    readonly path: string;
    readonly service: string;
    readonly kind: "streaming" | "non_idempotent" | "idempotent";
    readonly isResumable: boolean;
    readonly timeoutMs: number;
}

/** A version in full; times are in milliseconds of the monotonic clock. */
export interface ConfigurationVersion {
    readonly version: number;
    readonly routes: ReadonlyMap<string, Route>;
    readonly keys: ReadonlySet<string>;
    /** Number of further routes, which nobody calls. */
    readonly bulkRouteCount?: number;
    readonly sentAt: number;
    /** Undefined until the store has acknowledged the version. */
    acknowledgedAt: number | undefined;
}

/** What a direct call asks for. */
export interface Subject {
    readonly path: string;
    readonly key: string;
}

/** How a call was handled: by a service, as unknown path, as unknown key; undefined if the outcome tells nothing. */
export type Handling = { readonly service: string; } | "no-route" | "no-key" | undefined;

function route(path: string, service: string, kind: Route["kind"], isResumable = false): Route {
    const timeoutMs = kind === "streaming" ? STREAM_TIMEOUT_MS : SIMPLE_TIMEOUT_MS;
    return { path, service, kind, isResumable, timeoutMs };
}

export const BASE_ROUTES: readonly Route[] = [
    route("/review/", MODEL_SERVICE, "streaming", true),
    route("/note/", MODEL_SERVICE, "streaming"),
    route("/book/", "desk", "non_idempotent"),
    route("/look/", "desk", "idempotent"),
];

const LARGE_ANSWER = /large-(\d+)-(chunked|declared)/;

/** Path of calls whose worker is in trouble. */
export function troublePath(prefix: string, trouble: workers.Trouble): string {
    return `${prefix}trouble-${trouble}`;
}

/** The trouble that a path asks for; undefined for none. */
export function troubleOf(path: string): workers.Trouble | undefined {
    const troubles: readonly workers.Trouble[] = [...workers.TROUBLES, ...workers.MALFORMATIONS];
    return troubles.find(trouble => path.endsWith(`/trouble-${trouble}`));
}

/** Path of calls that are answered with a body of this size. */
export function largeAnswerPath(prefix: string, bytes: number, isChunked: boolean): string {
    return `${prefix}large-${bytes}-${isChunked ? "chunked" : "declared"}`;
}

/** The size and form of the answer that a path asks for; undefined for the usual one. */
export function largeAnswerOf(path: string): { readonly bytes: number; readonly isChunked: boolean; } | undefined {
    const [, bytes, form] = LARGE_ANSWER.exec(path) ?? [];
    return bytes === undefined ? undefined : { bytes: Number(bytes), isChunked: form === "chunked" };
}

/** Whether a version allows what was seen of a call. */
export function allows({ routes, keys }: ConfigurationVersion, { path, key }: Subject, handling: Handling): boolean {
    const found = routes.get(path);
    if (handling === undefined) {
        return true;
    }
    if (handling === "no-route") {
        return found === undefined;
    }
    if (handling === "no-key") {
        return !keys.has(key);
    }
    return found?.service === handling.service && keys.has(key);
}

interface Draft {
    readonly routes: Map<string, Route>;
    readonly keys: Set<string>;
}

type Change = (draft: Draft, book: ConfigurationBook, random: randoms.Random) => Subject | undefined;

const CHANGES = {
    "route-added": (draft, book, random) => {
        const added = route(`/added-${book.nextNumber()}/`, random.pick(SIMPLE_SERVICES), "idempotent");
        draft.routes.set(added.path, added);
        return { path: added.path, key: PERMANENT_KEY };
    },
    "route-removed": (draft, _book, random) => {
        const added = [...draft.routes.keys()].filter(path => path.startsWith("/added-"));
        if (added.length === 0) {
            return undefined;
        }
        const path = random.pick(added);
        draft.routes.delete(path);
        return { path, key: PERMANENT_KEY };
    },
    "route-moved": (draft, _book, random) => {
        const path = `/move-${random.integer(1, MOVABLE_ROUTES)}/`;
        const moved = draft.routes.get(path)!;
        draft.routes.set(path, { ...moved, service: moved.service === "desk" ? "annex" : "desk" });
        return { path, key: PERMANENT_KEY };
    },
    "key-added": (draft, book) => {
        const key = `key-that-comes-${book.nextNumber()}`;
        draft.keys.add(key);
        return { path: "/look/", key };
    },
    "key-withdrawn": (draft, _book, random) => {
        const withdrawable = [...draft.keys].filter(key => key !== PERMANENT_KEY);
        if (withdrawable.length === 0) {
            return undefined;
        }
        const key = random.pick(withdrawable);
        draft.keys.delete(key);
        return { path: "/look/", key };
    },
    "timeout-changed": (draft, _book, random) => {
        const path = `/idle-${random.integer(1, IDLE_ROUTES)}/`;
        draft.routes.set(path, { ...draft.routes.get(path)!, timeoutMs: random.integer(600, 900) });
        return undefined;
    },
} satisfies Readonly<Record<string, Change>>;

export type ChangeName = keyof typeof CHANGES;

export const CHANGE_NAMES = Object.keys(CHANGES) as readonly ChangeName[];

export class ConfigurationBook {
    readonly versions: ConfigurationVersion[] = [];
    /** Number of routes that nobody calls in the versions from now on. */
    bulkRouteCount = 0;
    /** What the latest changes were about, and a path that never existed. */
    private subjects: readonly Subject[] = [{ path: "/never/", key: PERMANENT_KEY }];
    private count = 0;

    constructor(private readonly random: randoms.Random) {}

    get current(): ConfigurationVersion {
        return this.versions.at(-1)!;
    }

    get recentSubjects(): readonly Subject[] {
        return this.subjects;
    }

    nextNumber(): number {
        return ++this.count;
    }

    first(now: number): ConfigurationVersion {
        const idle = Array.from(
            { length: IDLE_ROUTES },
            (_, index) => route(`/idle-${index + 1}/`, "desk", "idempotent"),
        );
        const movable = Array.from({ length: MOVABLE_ROUTES }, (_, index) => {
            return route(`/move-${index + 1}/`, SIMPLE_SERVICES[index % 2]!, "idempotent");
        });
        const routes = new Map([...BASE_ROUTES, ...idle, ...movable].map(entry => [entry.path, entry]));
        const keys = new Set([PERMANENT_KEY, "key-that-goes-0001", "key-that-goes-0002"]);
        return this.add({ routes, keys }, now);
    }

    /** Makes the next version, with these changes. */
    next(changes: readonly ChangeName[], now: number): ConfigurationVersion {
        const draft = { routes: new Map(this.current.routes), keys: new Set(this.current.keys) };
        for (const change of changes) {
            const subject = CHANGES[change](draft, this, this.random);
            if (subject !== undefined) {
                this.subjects = [
                    ...this.subjects.slice(0, 1),
                    ...this.subjects.slice(1).slice(1 - RECENT_SUBJECTS),
                    subject,
                ];
            }
        }
        return this.add(draft, now);
    }

    private add(draft: Draft, now: number): ConfigurationVersion {
        const step = this.random.integer(1, 6);
        const version = {
            ...draft,
            bulkRouteCount: this.bulkRouteCount,
            version: (this.versions.at(-1)?.version ?? 0) + step,
            sentAt: now,
            acknowledgedAt: undefined,
        };
        this.versions.push(version);
        return version;
    }
}

/** The version as the operator writes it. */
export function encode({ version, routes, keys, bulkRouteCount = 0 }: ConfigurationVersion): object {
    const bulk = Array.from(
        { length: bulkRouteCount },
        (_, index) => route(`/bulk-${index + 1}/`, "desk", "idempotent"),
    );
    return {
        version,
        routes: [...routes.values(), ...bulk].map(({ path, service, kind, isResumable, timeoutMs }) => ({
            name: `r${path.replaceAll("/", "-")}`,
            hostname: HOST,
            pathPrefix: path,
            routeType: kind,
            resumable: isResumable,
            timeoutMs,
            targetLatencyMs: kind === "streaming" ? 600 : 120,
            priority: 1,
            service,
            maxAttempts: kind === "non_idempotent" ? 1 : 2,
            anonymous: false,
            ...kind === "streaming" ? { sticky: true, gapTargetMs: 300 } : {},
        })),
        services: [
            {
                name: MODEL_SERVICE,
                healthCheck: "/health",
                maxConnections: 490,
                protocol: "h1",
                tls: false,
                engine: {
                    slots: 64,
                    kvCapacity: 88_220,
                    kvTokenBytes: 262_144,
                    linkMbps: 550_000,
                    maxInflight: 12,
                    models: [{ name: MODEL }],
                },
            },
            ...SIMPLE_SERVICES.map(name => ({
                name,
                healthCheck: "/health",
                maxConnections: 230,
                protocol: "h1",
                tls: false,
            })),
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        tenants: [
            { name: TENANT, apiKeys: [...keys], priority: 1, unit: "tokens", uncachedTokens: 200 },
            { name: HEAVY_TENANT, apiKeys: [HEAVY_KEY], priority: 1, unit: "tokens", uncachedTokens: 200 },
        ],
    };
}
