/** RPC server of a process: HTTP/2 without TLS. */
import type * as connect from "@connectrpc/connect";
import * as connectNode from "@connectrpc/connect-node";
import * as events from "node:events";
import * as http2 from "node:http2";
import type * as net from "node:net";

const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

export interface RpcServer extends AsyncDisposable {
    /** `host:port` on which the server listens. */
    readonly address: string;
}

export type Routes = (router: connect.ConnectRouter) => void;

/** Starts the server on `host:port`; port 0 selects a free port. Rejects if the address is in use. */
export async function listen(address: string, routes: Routes): Promise<RpcServer> {
    const handler = connectNode.connectNodeAdapter({ routes, readMaxBytes: MAXIMUM_MESSAGE_BYTES });
    const server = http2.createServer(handler);
    // Nagle's algorithm would delay small frames by up to 40 ms until the previous ones are acknowledged.
    server.on("connection", (socket: net.Socket) => socket.setNoDelay(true));
    const sessions = new Set<http2.ServerHttp2Session>();
    server.on("session", session => {
        sessions.add(session);
        session.on("error", () => session.destroy());
        session.on("close", () => sessions.delete(session));
    });
    const [host, port] = address.split(":");
    server.listen(Number(port), host);
    await events.EventEmitter.once(server, "listening");
    const bound = server.address() as { readonly port: number; };
    return {
        address: `${host}:${bound.port}`,
        [Symbol.asyncDispose]: async () => {
            const closed = events.EventEmitter.once(server, "close");
            server.close();
            sessions.forEach(session => session.destroy());
            await closed;
        },
    };
}
