/** Connections to backend servers, pooled by server address. */
import * as http from "node:http";
import type * as net from "node:net";

/** Maximum number of idle connections per server. Connections above it are opened under load and closed after use. */
const MAXIMUM_IDLE_PER_SERVER = 24;
/** Bytes that one read takes from a connection; an answer that nobody reads holds as many at least. */
const READ_BYTES = 16 * 1024;
/** Buffer of all reads; its content is valid until the read has been passed on. */
const READ_BUFFER = Buffer.allocUnsafeSlow(READ_BYTES);

/**
 * Agent whose connections may fail after the response, when no call listens for errors any more. They are read into one
 * buffer, which the parser of the runtime copies from at once. By default each read allocates 64 KB, which stay in memory
 * until they are collected.
 */
class PoolAgent extends http.Agent {
    override createConnection(
        options: http.ClientRequestArgs,
        ...rest: Tail<Parameters<http.Agent["createConnection"]>>
    ): ReturnType<http.Agent["createConnection"]> {
        const onread: net.OnReadOpts = {
            buffer: READ_BUFFER,
            callback: bytes => {
                deliver(connection as net.Socket, READ_BUFFER.subarray(0, bytes));
                return true;
            },
        };
        const withBuffer: http.ClientRequestArgs & { readonly onread: net.OnReadOpts; } = { ...options, onread };
        const connection = super.createConnection(withBuffer, ...rest);
        connection?.on("error", () => undefined);
        return connection;
    }
}

type Tail<List extends readonly unknown[]> = List extends [unknown, ...infer Rest] ? Rest : never;

/** Passes on bytes that are valid during this call only. */
function deliver(socket: net.Socket, bytes: Buffer): void {
    if (socket.listenerCount("data") > 0 && socket.readableFlowing === true && socket.readableLength === 0) {
        socket.emit("data", bytes);
    }
    else {
        // Nobody takes them now, such as between two calls.
        socket.push(Buffer.from(bytes));
    }
}

/** Keep-alive agent that closes an idle connection when it receives unsolicited data. */
class KeepAliveAgent extends PoolAgent {
    private readonly idleDataListeners = new WeakMap<net.Socket, () => void>();

    // Both overrides are part of the documented interface of http.Agent.
    override keepSocketAlive(socket: net.Socket): boolean {
        if (socket.readableLength > 0) {
            return false;
        }
        const closeSocket = () => void socket.destroy();
        this.idleDataListeners.set(socket, closeSocket);
        socket.on("data", closeSocket);
        return super.keepSocketAlive(socket) as unknown as boolean;
    }

    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        const closeSocket = this.idleDataListeners.get(socket);
        if (closeSocket !== undefined) {
            socket.off("data", closeSocket);
            this.idleDataListeners.delete(socket);
        }
        super.reuseSocket(socket, request);
    }
}

export class ConnectionPool implements Disposable {
    private idleLimit = MAXIMUM_IDLE_PER_SERVER;
    private readonly agents = new Map<string, http.Agent>();
    private readonly singleUse = new PoolAgent({ keepAlive: false });

    /** Agent whose connections are reused by successive calls. */
    keepAliveAgent(address: string): http.Agent {
        const existing = this.agents.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const agent = new KeepAliveAgent({ keepAlive: true, maxFreeSockets: this.idleLimit, scheduling: "lifo" });
        this.agents.set(address, agent);
        return agent;
    }

    /** Agent that opens a new connection for each call. */
    singleUseAgent(_address: string): http.Agent {
        return this.singleUse;
    }

    /** Limits the idle connections per server. A server limits the connections of all entries together. */
    setIdleLimit(connections: number): void {
        this.idleLimit = Math.max(1, Math.min(MAXIMUM_IDLE_PER_SERVER, Math.floor(connections)));
        this.agents.forEach(agent => {
            agent.maxFreeSockets = this.idleLimit;
        });
    }

    /** Closes the idle connections to a server, which may be silent as one of them was. */
    closeIdle(address: string): void {
        const idle = Object.values(this.agents.get(address)?.freeSockets ?? {});
        idle.flat().forEach(socket => void socket?.destroy());
    }

    /** Closes the connections to servers that are no longer listed. */
    retain(addresses: ReadonlySet<string>): void {
        for (const address of [...this.agents.keys()].filter(known => !addresses.has(known))) {
            // Calls in flight keep their connection; only idle connections are closed.
            this.closeIdle(address);
            this.agents.delete(address);
        }
    }

    [Symbol.dispose](): void {
        this.agents.forEach(agent => agent.destroy());
    }
}
