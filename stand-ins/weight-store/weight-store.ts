/** Weight store: beyond a number of loads at a time each further load is slower. */
import * as fastify from "fastify";
import type * as net from "node:net";

/** A load whose engine crashed no longer counts after this time. */
const LOAD_EXPIRY_MS = 10_000;

export interface WeightStoreOptions {
    readonly port?: number;
    /** Loads at a time that do not slow each other. */
    readonly parallelLoads?: number;
}

export interface WeightStore extends AsyncDisposable {
    /** Base URL. */
    readonly url: string;
}

export async function createWeightStore(options: WeightStoreOptions = {}): Promise<WeightStore> {
    const parallelLoads = options.parallelLoads ?? 2;
    const loads = new Map<string, number>();
    let lastId = 0;
    let mostAtOnce = 0;
    const server = fastify.fastify({ forceCloseConnections: true });
    server.post("/v1/loads", async () => {
        const now = Date.now();
        [...loads].filter(([, startedAt]) => now - startedAt > LOAD_EXPIRY_MS).forEach(([id]) => loads.delete(id));
        const id = String(++lastId);
        loads.set(id, now);
        mostAtOnce = Math.max(mostAtOnce, loads.size);
        return { id, slowdown: Math.max(1, loads.size / parallelLoads) };
    });
    server.delete("/v1/loads/:id", async request => {
        loads.delete((request.params as { readonly id: string; }).id);
        return {};
    });
    server.get("/control/statistics", async () => ({ loads: lastId, at_once: loads.size, most_at_once: mostAtOnce }));
    await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
    const bound = server.server.address() as net.AddressInfo;
    return { url: `http://127.0.0.1:${bound.port}`, [Symbol.asyncDispose]: () => server.close() };
}
