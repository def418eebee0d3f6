/** Stand-in for the platform's object store: listings in pages, watches, stale reads, conditions, outages, older copies. */
import type * as http from "node:http";
import * as standIns from "./http-stand-in.js";

const HTTP_CREATED = 201;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
/** Limits of a page of a listing; a larger object has a page of its own. */
const DEFAULT_PAGE_SIZE = 500;
const MAXIMUM_PAGE_BYTES = 1024 * 1024;
const DEFAULT_HISTORY_MS = 20_000;
const LONGEST_WATCH_MS = 30_000;
/** Time in milliseconds for which changes can be undone by `restore`. */
const UNDO_MS = 60_000;

/**
 * How the store responds: `unavailable` with status 503, `throttled` with 429, `unresponsive` never, `resetting` by
 * closing the connection, `unacknowledged` by executing the call without a response.
 */
export type StoreMode = "healthy" | "unavailable" | "throttled" | "unresponsive" | "resetting" | "unacknowledged";

export interface StoreOptions {
    /** Number of objects on a page of a listing. */
    readonly pageSize?: number;
    /** Time in milliseconds for which changes are kept for watches. */
    readonly historyMs?: number;
    /** Time in milliseconds that a response takes. */
    readonly responseMs?: number;
    /** Age in milliseconds of the copy that answers a stale read. */
    readonly staleLagMs?: () => number;
}

/** A spec as the bytes of another writer, which need not be JSON; `isObject` if they are the whole object. */
export interface RawSpec {
    readonly raw: Buffer;
    readonly isObject: boolean;
}

/** The spec is kept as bytes, so that a writer can store what this process could not represent. */
interface StoredObject {
    readonly name: string;
    readonly revision: number;
    readonly created: number;
    readonly spec: RawSpec;
    /** JSON. */
    readonly status: string | undefined;
}

interface StoreChange {
    readonly at: number;
    readonly revision: number;
    readonly kind: string;
    readonly before: StoredObject | undefined;
    /** State after the change; of a removed object, the last state at the revision of the removal. */
    readonly object: StoredObject;
    readonly isDeleted: boolean;
}

interface WriteBody {
    readonly metadata?: { readonly name?: string; readonly revision?: number; };
    readonly spec?: unknown;
    readonly status?: unknown;
}

interface Target {
    readonly kind: string;
    readonly name: string | undefined;
    readonly isStatus: boolean;
    readonly query: URLSearchParams;
}

export class Store extends standIns.HttpStandIn {
    /** Mode towards all callers; `modesByCaller` takes precedence for calls from an IP address. */
    mode: StoreMode = "healthy";
    readonly modesByCaller = new Map<string, StoreMode>();
    /** Time in milliseconds by which each response is delayed. */
    slownessMs = 0;
    private revision = 1;
    private oldestRevision = 0;
    private era = 1;
    private readonly kinds = new Map<string, Map<string, StoredObject>>();
    private readonly changes: StoreChange[] = [];
    /** Changes of the current history that watches may read. */
    private history: StoreChange[] = [];
    /** Waiting watches with their kinds. */
    private readonly watchers = new Map<() => void, string>();

    constructor(address: string, private readonly options: StoreOptions = {}) {
        super(address);
    }

    /** Writes an object as the operator, a worker or another writer does; the return is the acknowledgement. */
    put(kind: string, name: string, spec: unknown): void {
        const bytes = isRaw(spec) ? spec : rawOf(JSON.stringify(spec));
        const known = this.objects(kind).get(name);
        if (known === undefined || known.spec.isObject !== bytes.isObject || !known.spec.raw.equals(bytes.raw)) {
            this.replace(kind, name, bytes, known?.status);
        }
    }

    /** Writes an object whose spec is any JSON text. */
    putText(kind: string, name: string, spec: string): void {
        this.put(kind, name, rawOf(spec));
    }

    remove(kind: string, name: string): void {
        const known = this.objects(kind).get(name);
        if (known !== undefined) {
            this.objects(kind).delete(name);
            this.publish(kind, known, { ...known, revision: ++this.revision }, true);
        }
    }

    has(kind: string, name: string): boolean {
        return this.objects(kind).has(name);
    }

    /** Status of an object; undefined if none was written. */
    status(kind: string, name: string): unknown {
        const text = this.objects(kind).get(name)?.status;
        return text === undefined ? undefined : JSON.parse(text);
    }

    /** Comes back from a copy of this age in milliseconds: later changes are lost, and their revisions are given out again. */
    restore(ageMs: number): void {
        const takenBy = performance.now() - ageMs;
        // The first change always holds: a store comes back with something.
        while (this.changes.length > 1 && this.changes.at(-1)!.at > takenBy) {
            const { kind, object, before } = this.changes.pop()!;
            this.objects(kind).delete(object.name);
            if (before !== undefined) {
                this.objects(kind).set(object.name, before);
            }
        }
        this.era++;
        this.revision = this.changes.at(-1)?.revision ?? this.revision;
        this.history = this.history.filter(change => change.revision <= this.revision);
        this.wakeWatchers();
    }

    /** Discards the history, as when it is compacted: watches from earlier revisions get 410. */
    compact(): void {
        this.history = [];
        this.oldestRevision = this.revision;
        this.wakeWatchers();
    }

    /** Makes waiting calls look at the modes again. */
    wakeWatchers(): void {
        [...this.watchers.keys()].forEach(wake => wake());
    }

    protected async handle({ request, response, body }: standIns.StandInRequest): Promise<void> {
        const caller = request.socket.remoteAddress ?? "";
        const delayMs = this.slownessMs + (this.options.responseMs ?? 0);
        if (delayMs > 0) {
            await standIns.pause(delayMs);
        }
        if (this.isTurnedAway(caller, response)) {
            return;
        }
        const url = new URL(request.url ?? "/", "http://store");
        const [kind, name, part] = url.pathname.split("/").slice(3).map(decodeURIComponent);
        const target = { kind: kind!, name, isStatus: part === "status", query: url.searchParams };
        if (request.method !== "GET") {
            this.write(request.method!, target, body === "" ? {} : JSON.parse(body) as WriteBody, response);
            return;
        }
        if (url.searchParams.has("watch")) {
            await this.watch(target, caller, response);
            return;
        }
        if (name !== undefined) {
            const object = this.objects(target.kind).get(name);
            this.respond(response, object === undefined ? HTTP_NOT_FOUND : 200, object && encode(object));
            return;
        }
        this.list(target, response);
    }

    private modeFor(caller: string): StoreMode {
        return this.modesByCaller.get(caller) ?? this.mode;
    }

    /** Answers as the mode says. Returns whether the call ends with that. */
    private isTurnedAway(caller: string, response: http.ServerResponse): boolean {
        const handlers: Readonly<Record<StoreMode, () => boolean>> = {
            healthy: () => false,
            unacknowledged: () => false,
            unresponsive: () => true,
            unavailable: () => this.respond(response, HTTP_UNAVAILABLE),
            throttled: () => this.respond(response, HTTP_TOO_MANY_REQUESTS),
            resetting: () => {
                response.socket?.resetAndDestroy();
                return true;
            },
        };
        return handlers[this.modeFor(caller)]();
    }

    private respond(response: http.ServerResponse, status: number, body: string | Buffer = "{}"): boolean {
        const caller = response.socket?.remoteAddress ?? "";
        if (this.modeFor(caller) === "unacknowledged" || this.modeFor(caller) === "unresponsive") {
            return true;
        }
        response.writeHead(status, {
            "Content-Type": "application/json",
            "Content-Length": Buffer.byteLength(body),
            "Store-Era": String(this.era),
        });
        response.end(body);
        return true;
    }

    private write(
        method: string,
        { kind, name, isStatus, query }: Target,
        body: WriteBody,
        response: http.ServerResponse,
    ) {
        const objectName = name ?? body.metadata?.name ?? "";
        const known = this.objects(kind).get(objectName);
        if (method === "POST") {
            if (known !== undefined) {
                this.respond(response, HTTP_CONFLICT, encode(known));
                return;
            }
            this.put(kind, objectName, body.spec);
            this.respond(response, HTTP_CREATED, encode(this.objects(kind).get(objectName)!));
            return;
        }
        if (known === undefined) {
            this.respond(response, HTTP_NOT_FOUND);
            return;
        }
        const condition = body.metadata?.revision ?? query.get("revision") ?? undefined;
        if (condition !== undefined && Number(condition) !== known.revision) {
            this.respond(response, HTTP_CONFLICT, encode(known));
            return;
        }
        if (method === "DELETE") {
            this.remove(kind, objectName);
        }
        else if (isStatus) {
            const status = JSON.stringify(body.status);
            if (status !== known.status) {
                this.replace(kind, objectName, known.spec, status);
            }
        }
        else {
            this.put(kind, objectName, body.spec);
        }
        this.respond(response, 200, encode(this.objects(kind).get(objectName) ?? known));
    }

    private list({ kind, query }: Target, response: http.ServerResponse): void {
        const after = query.get("after") ?? "";
        const remaining = [...this.objects(kind).values()]
            .filter(({ name }) => name > after)
            .sort((left, right) => left.name < right.name ? -1 : 1);
        const items: Buffer[] = [];
        let pageBytes = 0;
        for (const object of remaining.slice(0, this.options.pageSize ?? DEFAULT_PAGE_SIZE)) {
            const item = encode(object);
            pageBytes += item.length;
            if (items.length > 0 && pageBytes > MAXIMUM_PAGE_BYTES) {
                break;
            }
            items.push(item);
        }
        const hasMore = String(remaining.length > items.length);
        const revision = String(this.revision);
        this.respond(response, 200, bytes`{"items":[${join(items)}],"hasMore":${hasMore},"storeRevision":${revision}}`);
    }

    private async watch({ kind, query }: Target, caller: string, response: http.ServerResponse): Promise<void> {
        const after = Number(query.get("watch"));
        const waitMs = Math.min(LONGEST_WATCH_MS, Number(query.get("waitMs") ?? 0));
        const lagMs = query.get("staleOk") === "1" ? this.options.staleLagMs?.() ?? 0 : 0;
        const endsAt = performance.now() + waitMs;
        const { era } = this;
        const isLost = () => era !== this.era || after > this.revision || after < this.oldestRevision;
        const visible = () => this.visibleChanges(kind, after, performance.now() - lagMs);
        while (
            !isLost() && this.modeFor(caller) === "healthy" && visible().length === 0 && performance.now() < endsAt
            && !response.destroyed
        ) {
            await this.waitForChange(kind, this.nextVisibleAt(kind, after, lagMs, endsAt));
        }
        if (isLost()) {
            this.respond(response, HTTP_GONE);
            return;
        }
        if (this.isTurnedAway(caller, response)) {
            return;
        }
        const events = visible().map(({ object, isDeleted }) => {
            return bytes`{"object":${encode(object)},"deleted":${String(isDeleted)}}`;
        });
        const revision = lagMs === 0 ? this.revision : this.revisionAt(performance.now() - lagMs, after);
        this.respond(response, 200, bytes`{"events":[${join(events)}],"storeRevision":${String(revision)}}`);
    }

    private visibleChanges(kind: string, after: number, until: number): readonly StoreChange[] {
        return this.changesAfter(kind, after).filter(change => change.at <= until);
    }

    private changesAfter(kind: string, after: number): readonly StoreChange[] {
        const first = this.history.findLastIndex(change => change.revision <= after) + 1;
        return this.history.slice(first).filter(change => change.kind === kind);
    }

    /** Time at which the next change becomes visible in a copy that is behind by `lagMs`. */
    private nextVisibleAt(kind: string, after: number, lagMs: number, endsAt: number): number {
        const next = this.changesAfter(kind, after)[0];
        return Math.min(endsAt, next === undefined ? endsAt : next.at + lagMs);
    }

    private revisionAt(at: number, after: number): number {
        const last = this.history.findLast(change => change.at <= at);
        return Math.max(after, last?.revision ?? this.oldestRevision);
    }

    private waitForChange(kind: string, until: number): Promise<void> {
        return new Promise<void>(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.watchers.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, Math.max(1, until - performance.now()));
            this.watchers.set(wake, kind);
        });
    }

    private replace(kind: string, name: string, spec: RawSpec, status: string | undefined): void {
        const before = this.objects(kind).get(name);
        const object = { name, revision: ++this.revision, created: before?.created ?? Date.now(), spec, status };
        this.objects(kind).set(name, object);
        this.publish(kind, before, object, false);
    }

    private objects(kind: string): Map<string, StoredObject> {
        const objects = this.kinds.get(kind) ?? new Map<string, StoredObject>();
        this.kinds.set(kind, objects);
        return objects;
    }

    private publish(kind: string, before: StoredObject | undefined, object: StoredObject, isDeleted: boolean): void {
        const now = performance.now();
        const change = { at: now, revision: this.revision, kind, before, object, isDeleted };
        this.changes.push(change);
        this.history.push(change);
        while (this.changes.length > 1 && this.changes[0]!.at < now - UNDO_MS) {
            this.changes.shift();
        }
        while (this.history.length > 0 && this.history[0]!.at < now - (this.options.historyMs ?? DEFAULT_HISTORY_MS)) {
            this.oldestRevision = this.history.shift()!.revision;
        }
        [...this.watchers].filter(([, watched]) => watched === kind).forEach(([wake]) => wake());
    }
}

/** Encoded objects; a large one goes to many callers at once. */
const encoded = new WeakMap<StoredObject, Buffer>();

function encode(object: StoredObject): Buffer {
    const known = encoded.get(object) ?? encodeAnew(object);
    encoded.set(object, known);
    return known;
}

function encodeAnew({ name, revision, created, spec, status }: StoredObject): Buffer {
    if (spec.isObject) {
        return spec.raw;
    }
    const metadata = JSON.stringify({ name, revision, created, finalizers: [], deleting: false });
    return bytes`{"metadata":${metadata},"spec":${spec.raw}${status === undefined ? "" : `,"status":${status}`}}`;
}

function rawOf(text: string): RawSpec {
    return { raw: Buffer.from(text), isObject: false };
}

function isRaw(spec: unknown): spec is RawSpec {
    return (spec as Partial<RawSpec> | undefined)?.raw instanceof Buffer;
}

function bytes(texts: TemplateStringsArray, ...values: readonly (string | Buffer)[]): Buffer {
    return Buffer.concat(texts.flatMap((text, index) => [text, values[index] ?? ""]).map(part => Buffer.from(part)));
}

function join(values: readonly Buffer[]): Buffer {
    return Buffer.concat(values.flatMap((value, index) => index === 0 ? [value] : [Buffer.from(","), value]));
}
