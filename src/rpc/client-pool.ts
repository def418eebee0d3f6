/** Clients for the RPC services of other processes, one HTTP/2 connection per address. */
import type * as protobuf from "@bufbuild/protobuf";
import * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as net from "node:net";

const IDLE_CONNECTION_TIMEOUT_MS = 15 * 60 * 1000;
const PING_INTERVAL_MS = 2000;
const PING_TIMEOUT_MS = 2000;

interface Connection {
    readonly transport: connect.Transport;
    /** Open sockets; more than one while a previous session finishes its streams. */
    readonly sockets: ReadonlySet<net.Socket>;
}

/** Creates clients that share one connection per address; disposing the pool closes all connections. */
export class ClientPool implements AsyncDisposable {
    private readonly connections = new Map<string, Connection>();

    client<Service extends protobuf.DescService>(service: Service, address: string): connect.Client<Service> {
        return connect.createClient(service, this.connection(address).transport);
    }

    /**
     * Closes the connection to an address, for example after its process was replaced. Calls that are in flight or wait for
     * the connection fail with `peer-connection-lost`.
     *
     * Destroys the sockets instead of calling `abort` on the session manager. After a GOAWAY frame the manager destroys
     * the session, which emits an error later; `abort` removes the error listener, so that error would be unhandled.
     */
    drop(address: string): void {
        this.connections.get(address)?.sockets.forEach(closeSocket);
        this.connections.delete(address);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        for (const address of [...this.connections.keys()]) {
            this.drop(address);
        }
    }

    private connection(address: string): Connection {
        const existing = this.connections.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const baseUrl = `http://${address}`;
        const sockets = new Set<net.Socket>();
        const createConnection = (authority: URL) => {
            const socket = connectWithNoDelay(authority);
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
            return socket;
        };
        const session = new connectNode.Http2SessionManager(baseUrl, {
            idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
            pingIntervalMs: PING_INTERVAL_MS,
            pingTimeoutMs: PING_TIMEOUT_MS,
        }, { createConnection });
        const transport = connectNode.createConnectTransport({ baseUrl, httpVersion: "2", sessionManager: session });
        const connection = { transport, sockets };
        this.connections.set(address, connection);
        return connection;
    }
}

/**
 * Calls that wait for the connection only end with an error of its session, and Node.js 20.19 closes a session without one
 * when its socket is closed before it is connected.
 */
function closeSocket(socket: net.Socket): void {
    socket.destroy(socket.connecting ? new Error("the connection was dropped before it was established") : undefined);
}

/** Disables Nagle's algorithm, which delays small frames by up to 40 ms until the previous ones are acknowledged. */
function connectWithNoDelay(authority: URL): net.Socket {
    return net.connect({ host: authority.hostname, port: Number(authority.port), noDelay: true });
}
