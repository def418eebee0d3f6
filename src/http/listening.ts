/** Opens listening sockets. An address may be in use for a while: by the process before, or by an outgoing connection. */
import type * as net from "node:net";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as jsonClient from "./json-client.js";

/** Time in milliseconds between attempts to listen. */
const RETRY_DELAY_MS = 200;

export interface ListeningPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
}

/** Resolves when the server listens on IP:PORT; tries again until it does. Logs errors of the server, also later ones. */
export async function listen(
    server: net.Server,
    address: string,
    { clock, journal }: ListeningPorts,
    options: net.ListenOptions = {},
): Promise<void> {
    const [host, port] = address.split(":");
    let isListening = false;
    server.on("error", error => {
        journal.emit("listening-failed", { address, reason: jsonClient.errorCode(error), isListening });
    });
    while (!isListening) {
        isListening = await new Promise<boolean>(resolve => {
            const succeed = () => {
                server.off("error", fail);
                resolve(true);
            };
            const fail = () => {
                server.off("listening", succeed);
                resolve(false);
            };
            server.once("listening", succeed);
            server.once("error", fail);
            server.listen({ ...options, port: Number(port), host });
        });
        if (!isListening) {
            await clock.sleep(RETRY_DELAY_MS);
        }
    }
}
