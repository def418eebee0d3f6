/** Stand-in for a KV cache store: holds the hashes of stored pieces by weights version, with LRU eviction. */
import * as fastify from "fastify";
import type * as net from "node:net";
import * as zod from "zod";

const piecesSchema = zod.object({
    model: zod.string(),
    weights_version: zod.string(),
    hashes: zod.array(zod.string()),
});

export interface KvStoreOptions {
    readonly port?: number;
    readonly capacityPieces?: number;
}

export interface KvStore extends AsyncDisposable {
    /** Base URL. */
    readonly url: string;
}

/** Starts the store. `POST /v1/pieces` stores pieces; `POST /v1/lookup` returns those of the given pieces it holds. */
export async function createKvStore(options: KvStoreOptions = {}): Promise<KvStore> {
    const capacity = options.capacityPieces ?? 4096;
    const stored = new Set<string>();
    const server = fastify.fastify({ forceCloseConnections: true });
    server.post("/v1/pieces", async request => {
        const body = piecesSchema.parse(request.body);
        body.hashes.map(hash => pieceKey(body, hash)).forEach(key => {
            stored.delete(key);
            stored.add(key);
        });
        [...stored].slice(0, Math.max(0, stored.size - capacity)).forEach(key => stored.delete(key));
        return { stored: body.hashes.length };
    });
    server.post("/v1/lookup", async request => {
        const body = piecesSchema.parse(request.body);
        return { ...body, hashes: body.hashes.filter(hash => stored.has(pieceKey(body, hash))) };
    });
    await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
    const bound = server.server.address() as net.AddressInfo;
    return { url: `http://127.0.0.1:${bound.port}`, [Symbol.asyncDispose]: () => server.close() };
}

function pieceKey(body: zod.infer<typeof piecesSchema>, hash: string): string {
    return `${body.model}@${body.weights_version}/${hash}`;
}
