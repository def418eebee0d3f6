/** Stand-in for the platform's object API, with call counters and fault injection. */
import * as fastify from "fastify";
import type * as standIns from "../process.js";

const MAXIMUM_VALUE_BYTES = 1024 * 1024;
const MAXIMUM_WATCH_MS = 60_000;

interface StoredObject {
    readonly name: string;
    readonly version: number;
    readonly value: string;
}

export interface Faults {
    /** Connections are closed without a response, and writes do not take effect. */
    readonly outage: boolean;
    /** Delay of each call in milliseconds. */
    readonly delayMs: number;
    /** Number of following writes that take effect but whose response is not sent; -1 for all. */
    readonly loseAnswers: number;
}

const NO_FAULTS: Faults = { outage: false, delayMs: 0, loseAnswers: 0 };

export interface Counts {
    /** All calls, including those that a fault delays or aborts. */
    received: number;
    reads: number;
    writes: number;
    conflicts: number;
    watches: number;
}

export interface ObjectApi extends standIns.StandIn {
    readonly counts: Counts;
    setFaults(faults: Partial<Faults>): void;
}

class ObjectTable {
    revision = 0;
    readonly byName = new Map<string, StoredObject>();
    private readonly watchers = new Set<() => void>();

    matching(prefix: string, after: number): readonly StoredObject[] {
        return [...this.byName.values()].filter(object => object.name.startsWith(prefix) && object.version > after);
    }

    write(name: string, value: string): number {
        this.revision++;
        this.byName.set(name, { name, version: this.revision, value });
        this.notifyWatchers();
        return this.revision;
    }

    remove(name: string): void {
        this.revision++;
        this.byName.delete(name);
    }

    notifyWatchers(): void {
        [...this.watchers].forEach(notify => notify());
    }

    /** Resolves at the next change or after `waitMs` milliseconds. */
    waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.watchers.delete(finish);
                resolve();
            };
            const timer = setTimeout(finish, waitMs);
            this.watchers.add(finish);
        });
    }
}

/** Starts the stand-in on a loopback port; 0 selects a free one. */
export async function createObjectApi(port = 0): Promise<ObjectApi> {
    const server = fastify.fastify({ bodyLimit: MAXIMUM_VALUE_BYTES, forceCloseConnections: true });
    const objects = new ObjectTable();
    const counts: Counts = { received: 0, reads: 0, writes: 0, conflicts: 0, watches: 0 };
    let faults = NO_FAULTS;
    const setFaults = (change: Partial<Faults>): void => {
        faults = { ...faults, ...change };
        objects.notifyWatchers();
    };
    parseBodiesAsText(server);

    server.addHook("preHandler", async (request, reply) => {
        if (request.url.startsWith("/control/")) {
            return;
        }
        counts.received++;
        if (faults.delayMs > 0) {
            await sleep(faults.delayMs);
        }
        if (faults.outage) {
            closeConnection(request, reply);
        }
    });

    server.get<{ Params: { "*": string; }; }>("/v1/objects/*", async (request, reply) => {
        counts.reads++;
        const object = objects.byName.get(request.params["*"]);
        if (object === undefined) {
            return reply.code(404).send();
        }
        return reply.header("etag", `"${object.version}"`).type("text/plain; charset=utf-8").send(object.value);
    });

    server.get<{ Querystring: { prefix?: string; }; }>("/v1/objects", async request => {
        counts.reads++;
        return { revision: objects.revision, objects: objects.matching(request.query.prefix ?? "", 0) };
    });

    server.get<{ Querystring: { prefix?: string; after?: string; wait_ms?: string; }; }>(
        "/v1/watch",
        async (request, reply) => {
            counts.watches++;
            const prefix = request.query.prefix ?? "";
            const after = Number(request.query.after ?? 0);
            const end = Date.now() + Math.min(Number(request.query.wait_ms ?? 0), MAXIMUM_WATCH_MS);
            let found = objects.matching(prefix, after);
            while (found.length === 0 && Date.now() < end && !faults.outage) {
                await objects.waitForChange(end - Date.now());
                found = objects.matching(prefix, after);
            }
            return faults.outage ? closeConnection(request, reply) : { revision: objects.revision, objects: found };
        },
    );

    server.put<{ Params: { "*": string; }; Body: string; }>("/v1/objects/*", async (request, reply) => {
        counts.writes++;
        const name = request.params["*"];
        if (!preconditionHolds(request.headers, objects.byName.get(name))) {
            counts.conflicts++;
            return reply.code(412).send();
        }
        const version = objects.write(name, request.body ?? "");
        return respondWithVersion(request, reply, version);
    });

    server.delete<{ Params: { "*": string; }; }>("/v1/objects/*", async (request, reply) => {
        counts.writes++;
        const name = request.params["*"];
        if (!preconditionHolds(request.headers, objects.byName.get(name))) {
            counts.conflicts++;
            return reply.code(412).send();
        }
        objects.remove(name);
        return respondWithVersion(request, reply, objects.revision);
    });

    server.get("/control/counts", async () => counts);
    server.put<{ Body: string; }>("/control/faults", async request => {
        setFaults(JSON.parse(request.body) as Partial<Faults>);
        return faults;
    });

    function respondWithVersion(request: fastify.FastifyRequest, reply: fastify.FastifyReply, version: number) {
        if (faults.loseAnswers !== 0) {
            faults = { ...faults, loseAnswers: Math.max(-1, faults.loseAnswers - 1) };
            return closeConnection(request, reply);
        }
        return reply.header("etag", `"${version}"`).send();
    }

    await server.listen({ port, host: "127.0.0.1" });
    return {
        address: server.listeningOrigin.replace("http://", ""),
        counts,
        setFaults,
        [Symbol.asyncDispose]: async () => {
            setFaults({ outage: true });
            await server.close();
        },
    };
}

/** Parses every body as text, since object values have no content type. */
function parseBodiesAsText(server: fastify.FastifyInstance): void {
    server.removeAllContentTypeParsers();
    server.addContentTypeParser("*", { parseAs: "string" }, async (_request: unknown, body: unknown) => body);
}

function preconditionHolds(headers: fastify.FastifyRequest["headers"], current: StoredObject | undefined): boolean {
    if (headers["if-none-match"] === "*") {
        return current === undefined;
    }
    const expected = headers["if-match"];
    return expected === undefined || expected === `"${current?.version}"`;
}

function closeConnection(request: fastify.FastifyRequest, reply: fastify.FastifyReply): fastify.FastifyReply {
    reply.hijack();
    request.raw.socket.destroy();
    return reply;
}

function sleep(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs).unref());
}
