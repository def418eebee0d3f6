/** Serves copies of the store's kinds to peers over HTTP, and fetches a copy when a peer has a newer one. */
import type * as http from "node:http";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as boundedServers from "../http/bounded-server.js";
import * as jsonClient from "../http/json-client.js";
import type * as readMemory from "../memory/read-memory.js";
import type * as watches from "../store-access/kind-watch.js";
import * as positions from "../store-access/position.js";
import type * as storeAccess from "../store-access/types.js";
import * as documentTexts from "./document-texts.js";
import type * as types from "./types.js";

const FETCH_TIMEOUT_MS = 1000;
/** Time in milliseconds after which a copy that is being fetched is asked of a second peer as well. */
const SECOND_FETCH_AFTER_MS = 200;
/** Time in milliseconds that the process's own watch has to catch up before a peer's copy is fetched. */
const CATCH_UP_MS = 250;
/** Depth of the records in a copy. */
const RECORD_DEPTH = 2;
/** Path of a copy, followed by its kind. */
const PATH_PREFIX = "/copies/";

/** A copy that is being fetched. */
interface Fetch {
    readonly kind: string;
    readonly peer: string;
    readonly startedAt: number;
}

export interface DocumentPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly watches: readonly watches.KindWatch[];
    readonly reads: readMemory.ReadMemory;
}

export class DocumentExchange implements AsyncDisposable {
    private readonly server: boundedServers.BoundedServer;
    private readonly texts: documentTexts.DocumentTexts;
    /** Newest change that a peer reported and the own copy lacks, with the time of the first such report, by kind. */
    private readonly behind = new Map<
        string,
        { readonly change: storeAccess.Position; readonly since: number; }
    >();
    private readonly fetches = new Set<Fetch>();

    constructor(private readonly ports: DocumentPorts) {
        this.server = new boundedServers.BoundedServer((request, response) => this.serve(request, response));
        this.texts = new documentTexts.DocumentTexts(ports.reads.budget);
    }

    /** Listens on IP:PORT. */
    start(address: string): void {
        void this.server.listen(address, this.ports);
    }

    [Symbol.asyncDispose](): Promise<void> {
        return this.server[Symbol.asyncDispose]();
    }

    /** Compares a peer's newest changes with the own copies, and fetches copies that remain behind. */
    compare(heartbeat: types.Heartbeat, now: number): void {
        for (const watch of this.ports.watches) {
            const { position } = watch.copy;
            const peerChange = heartbeat.lastChanges[watch.kind] ?? positions.NOWHERE;
            // Only an update of the own copy ends the wait: other peers may be as far behind as this process.
            const pending = this.behind.get(watch.kind);
            if (pending !== undefined && !positions.isAfter(pending.change, position)) {
                this.behind.delete(watch.kind);
            }
            if (!positions.isAfter(peerChange, position)) {
                continue;
            }
            watch.expectEra(peerChange.era);
            const { since } = this.behind.get(watch.kind) ?? { since: now };
            const change = positions.latest(peerChange, pending?.change ?? positions.NOWHERE);
            this.behind.set(watch.kind, { change, since });
            // A watch that batches changes catches up by itself; fetching a copy transfers all records of the kind.
            const catchUpMs = CATCH_UP_MS + watch.lagMs;
            if (
                (now - since >= catchUpMs || !watch.copy.isLoaded) && this.mayFetch(watch.kind, heartbeat.member, now)
            ) {
                void this.fetch(watch, heartbeat.member, now);
            }
        }
    }

    /** A peer may be slow or out of reach although its heartbeats arrive, so that a second one is asked. */
    private mayFetch(kind: string, peer: types.Member, now: number): boolean {
        const fetches = [...this.fetches].filter(fetch => fetch.kind === kind);
        return fetches.length === 0 || fetches.length === 1 && fetches[0]!.peer !== peer.name
                && now - fetches[0]!.startedAt >= SECOND_FETCH_AFTER_MS;
    }

    private async fetch(watch: watches.KindWatch, peer: types.Member, startedAt: number): Promise<void> {
        const fetch = { kind: watch.kind, peer: peer.name, startedAt };
        this.fetches.add(fetch);
        using _fetch = { [Symbol.dispose]: () => void this.fetches.delete(fetch) };
        const result = await jsonClient.send({
            method: "GET",
            address: peer.documentAddress,
            path: PATH_PREFIX + watch.kind,
            timeoutMs: FETCH_TIMEOUT_MS,
            partsDepth: RECORD_DEPTH,
            memory: this.ports.reads,
        });
        const listing = result.kind === "response" && result.status === 200 ? decodeListing(result.body) : undefined;
        if (listing !== undefined) {
            this.adoptSafely(watch, listing, peer);
            return;
        }
        const reason = result.kind === "response" ? `unusable response, status ${result.status}` : result.reason;
        this.ports.journal.emit("document-fetch-failed", { kind: watch.kind, peer: peer.name, reason });
    }

    private adoptSafely(watch: watches.KindWatch, listing: storeAccess.Listing, peer: types.Member): void {
        try {
            watch.adopt(listing, peer.name);
        }
        catch (error) {
            const { message: reason } = error as Error;
            this.ports.journal.emit("document-fetch-failed", { kind: watch.kind, peer: peer.name, reason });
        }
    }

    private serve(request: http.IncomingMessage, response: http.ServerResponse): void {
        const kind = request.url?.startsWith(PATH_PREFIX) === true ? request.url.slice(PATH_PREFIX.length) : undefined;
        const watch = this.ports.watches.find(candidate => candidate.kind === kind);
        if (watch === undefined || !watch.copy.isLoaded) {
            response.writeHead(404).end();
            return;
        }
        const text = this.texts.use(watch.kind, watch.copy, this.ports.clock.now());
        if (text === undefined) {
            response.writeHead(503).end();
            return;
        }
        response.on("close", () => text[Symbol.dispose]());
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": text.bytes.length });
        response.end(text.bytes);
    }
}

/** Processes of earlier versions tell neither the era nor what they show in place of the store's state. */
function decodeListing(value: unknown): storeAccess.Listing | undefined {
    const { era = 0, revision, records, held = [], graceMs = 0 } = (value ?? {}) as Partial<storeAccess.Listing>;
    const isValid = typeof era === "number" && typeof revision === "number" && typeof graceMs === "number"
        && Array.isArray(records) && records.every(isRecord) && Array.isArray(held) && held.every(isHeldRecord);
    return isValid ? { era, revision, records, held, graceMs } : undefined;
}

function isRecord(value: unknown): value is storeAccess.StoredRecord {
    const record = value as Partial<storeAccess.StoredRecord> | undefined;
    return typeof record?.name === "string" && typeof record.revision === "number";
}

function isHeldRecord(value: unknown): value is storeAccess.HeldRecord {
    const { name, record, remainingMs } = (value ?? {}) as Partial<storeAccess.HeldRecord>;
    return typeof name === "string" && (record === undefined || isRecord(record))
        && (remainingMs === undefined || typeof remainingMs === "number");
}
