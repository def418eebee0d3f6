/** Health endpoints: `/healthz` returns 200 while the process runs, `/readyz` while it accepts work (otherwise 503). */
import * as fastify from "fastify";

export type Readiness = () => boolean;

/** Adds the health endpoints to an HTTP server. */
export function addHealthRoutes(server: fastify.FastifyInstance, ready: Readiness): void {
    server.get("/healthz", async () => ({ status: "ok" }));
    server.get("/readyz", async (_request, reply) => {
        const isReady = ready();
        return reply.status(isReady ? 200 : 503).send({ status: isReady ? "ready" : "not-ready" });
    });
}

/** Starts an HTTP server with only the health endpoints at HOST:PORT, for agents, which serve no other HTTP. */
export async function listen(address: string, ready: Readiness): Promise<AsyncDisposable> {
    const server = fastify.fastify();
    addHealthRoutes(server, ready);
    const [host, port] = address.split(":");
    await server.listen({ host, port: Number(port) });
    return { [Symbol.asyncDispose]: () => server.close() };
}
