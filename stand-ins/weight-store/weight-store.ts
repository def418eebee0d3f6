/** Stand-in for a weight store: loads become slower when more than a given number run at the same time. */
import * as fastify from "fastify";
import type * as net from "node:net";

/** Time after which a load is no longer counted, since its engine may have crashed without ending it. */
const LOAD_TIMEOUT_MS = 10_000;

export interface WeightStoreOptions {
    readonly port?: number;
    /** Number of concurrent loads that run at full speed. */
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
    let peakLoads = 0;
    const server = fastify.fastify({ forceCloseConnections: true });
    server.post("/v1/loads", async () => {
        const now = Date.now();
        [...loads].filter(([, startedAt]) => now - startedAt > LOAD_TIMEOUT_MS).forEach(([id]) => loads.delete(id));
        const id = String(++lastId);
        loads.set(id, now);
        peakLoads = Math.max(peakLoads, loads.size);
        return { id, slowdown: Math.max(1, loads.size / parallelLoads) };
    });
    server.delete("/v1/loads/:id", async request => {
        loads.delete((request.params as { readonly id: string; }).id);
        return {};
    });
    server.get("/control/statistics", async () => ({ loads: lastId, at_once: loads.size, most_at_once: peakLoads }));
    await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
    const bound = server.server.address() as net.AddressInfo;
    return { url: `http://127.0.0.1:${bound.port}`, [Symbol.asyncDispose]: () => server.close() };
}
