/** Connections to backend servers, pooled by server address. */
import * as http from "node:http";
import type * as net from "node:net";
import type * as eventLoop from "../event-loop/types.js";
import * as connectionReaders from "./connection-reader.js";

/** Maximum number of idle connections per server. Connections above it are opened under load and closed after use. */
const MAXIMUM_IDLE_PER_SERVER = 24;
/** Readers of the open connections. */
type Readers = WeakMap<net.Socket, connectionReaders.ConnectionReader>;

/** Agent whose connections may fail after the response, when no call listens for errors any more. */
class PoolAgent extends http.Agent {
    constructor(
        options: http.AgentOptions,
        private readonly readers: Readers,
        private readonly ports: connectionReaders.ReaderPorts,
    ) {
        super(options);
    }

    override createConnection(
        options: http.ClientRequestArgs,
        ...rest: Tail<Parameters<http.Agent["createConnection"]>>
    ): ReturnType<http.Agent["createConnection"]> {
        const reader = new connectionReaders.ConnectionReader(this.ports);
        const withReader: http.ClientRequestArgs & { readonly onread: net.OnReadOpts; } = {
            ...options,
            onread: reader.options,
        };
        const connection = super.createConnection(withReader, ...rest) as net.Socket;
        reader.attach(connection);
        this.readers.set(connection, reader);
        connection.on("error", () => undefined);
        return connection;
    }
}

type Tail<List extends readonly unknown[]> = List extends [unknown, ...infer Rest] ? Rest : never;

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
    private readonly readers: Readers = new WeakMap();
    private readonly singleUse: http.Agent;

    constructor(private readonly ports: connectionReaders.ReaderPorts) {
        this.singleUse = new PoolAgent({ keepAlive: false }, this.readers, ports);
    }

    /** From now on the connection carries the answer that the work is about. */
    assign(connection: net.Socket, work: eventLoop.Work): void {
        const reader = this.readers.get(connection);
        if (reader !== undefined) {
            reader.work = work;
        }
    }

    /** Agent whose connections are reused by successive calls. */
    keepAliveAgent(address: string): http.Agent {
        const existing = this.agents.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const agent = new KeepAliveAgent(
            { keepAlive: true, maxFreeSockets: this.idleLimit, scheduling: "lifo" },
            this.readers,
            this.ports,
        );
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
