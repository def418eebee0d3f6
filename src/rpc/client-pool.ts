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
    /** Open sockets; more than one while a former session finishes its streams. */
    readonly sockets: ReadonlySet<net.Socket>;
}

/** Creates clients and keeps one connection per address until it is disposed. */
export class ClientPool implements AsyncDisposable {
    private readonly connections = new Map<string, Connection>();

    client<Service extends protobuf.DescService>(service: Service, address: string): connect.Client<Service> {
        return connect.createClient(service, this.connection(address).transport);
    }

    /**
     * Closes the connection to an address, for example after its process was replaced. Calls in flight fail.
     *
     * Closes the sockets rather than the session manager: `abort` of the manager removes its error listener, also from
     * a session that it has destroyed itself after a GOAWAY frame and that has yet to emit its error.
     */
    drop(address: string): void {
        this.connections.get(address)?.sockets.forEach(socket => socket.destroy());
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
            const socket = connectWithoutDelay(authority);
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

/** Without this, small frames wait up to 40 ms for the acknowledgement of the previous ones. */
function connectWithoutDelay(authority: URL): net.Socket {
    return net.connect({ host: authority.hostname, port: Number(authority.port), noDelay: true });
}
