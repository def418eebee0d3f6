/** Health endpoints: `/healthz` answers while the process runs, `/readyz` while it accepts work. */
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

/** Starts a server with only the health endpoints; for agents, which have no HTTP server of their own. */
export async function listen(address: string, ready: Readiness): Promise<AsyncDisposable> {
    const server = fastify.fastify();
    addHealthRoutes(server, ready);
    const [host, port] = address.split(":");
    await server.listen({ host, port: Number(port) });
    return { [Symbol.asyncDispose]: () => server.close() };
}
