/** Stand-in for the platform's instance list: each change becomes visible after a configurable delay. */
import * as fastify from "fastify";
import type * as standIns from "../process.js";

export interface Instance {
    readonly address: string;
    readonly role: "entry" | "agent";
    readonly data_centre: string;
    readonly state: "live" | "leaving";
}

export interface Control {
    readonly instances?: readonly Instance[];
    /** Milliseconds until a change of the instances becomes visible. */
    readonly lag_ms?: number;
    /** Connections are closed without a response. */
    readonly outage?: boolean;
}

export interface InstanceList extends standIns.StandIn {
    control(change: Control): void;
}

interface HistoryEntry {
    readonly visibleAt: number;
    readonly instances: readonly Instance[];
}

/** Starts the stand-in on a loopback port; 0 selects a free one. */
export async function createInstanceList(port = 0): Promise<InstanceList> {
    const server = fastify.fastify({ forceCloseConnections: true });
    let history: readonly HistoryEntry[] = [{ visibleAt: 0, instances: [] }];
    let lagMs = 0;
    let outage = false;
    const control = (change: Control): void => {
        lagMs = change.lag_ms ?? lagMs;
        outage = change.outage ?? outage;
        if (change.instances !== undefined) {
            history = [...history, { visibleAt: Date.now() + lagMs, instances: change.instances }];
        }
    };

    server.get("/v1/instances", async (request, reply) => {
        if (outage) {
            reply.hijack();
            request.raw.socket.destroy();
            return reply;
        }
        const now = Date.now();
        const visible = history.findLastIndex(entry => entry.visibleAt <= now);
        history = history.slice(visible);
        return { instances: history[0].instances };
    });
    server.put<{ Body: Control; }>("/control", async request => {
        control(request.body);
        return {};
    });

    await server.listen({ port, host: "127.0.0.1" });
    return {
        address: server.listeningOrigin.replace("http://", ""),
        control,
        [Symbol.asyncDispose]: () => server.close(),
    };
}
