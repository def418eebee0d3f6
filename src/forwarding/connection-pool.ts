/** Connections to backend servers, kept per server address. */
import * as http from "node:http";
import type * as net from "node:net";

/** Idle connections that are kept per server at most; more are opened under load and closed after it. */
const MAXIMUM_IDLE = 24;

/** Keeps connections for reuse, and drops one on which bytes arrive that no call asked for. */
class CleanAgent extends http.Agent {
    private readonly guards = new WeakMap<net.Socket, () => void>();

    // The two methods are part of the documented interface of http.Agent.
    override keepSocketAlive(socket: net.Socket): boolean {
        if (socket.readableLength > 0) {
            return false;
        }
        const guard = () => void socket.destroy();
        this.guards.set(socket, guard);
        socket.on("data", guard);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        const guard = this.guards.get(socket);
        if (guard !== undefined) {
            socket.off("data", guard);
            this.guards.delete(socket);
        }
        super.reuseSocket(socket, request);
    }
}

export class ConnectionPool implements Disposable {
    private idleLimit = MAXIMUM_IDLE;
    private readonly agents = new Map<string, http.Agent>();
    private readonly singleUse = new http.Agent({ keepAlive: false });

    /** Connections that are used one call after the other. */
    shared(address: string): http.Agent {
        const known = this.agents.get(address);
        if (known !== undefined) {
            return known;
        }
        const agent = new CleanAgent({ keepAlive: true, maxFreeSockets: this.idleLimit, scheduling: "lifo" });
        this.agents.set(address, agent);
        return agent;
    }

    /** A connection for one call. */
    single(_address: string): http.Agent {
        return this.singleUse;
    }

    /** Limits the idle connections to each server, which accepts a number from all entries together. */
    limitIdle(connections: number): void {
        this.idleLimit = Math.max(1, Math.min(MAXIMUM_IDLE, Math.floor(connections)));
        this.agents.forEach(agent => {
            agent.maxFreeSockets = this.idleLimit;
        });
    }

    /** Closes the connections to servers that are no longer listed. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, agent] of this.agents) {
            if (!addresses.has(address)) {
                // Calls under way keep their connection; only idle ones are closed.
                for (const socket of Object.values(agent.freeSockets).flat()) {
                    socket?.destroy();
                }
                this.agents.delete(address);
            }
        }
    }

    [Symbol.dispose](): void {
        this.agents.forEach(agent => agent.destroy());
    }
}
