/** Interim responses (1xx): a server in trouble may send them without end, or leave HTTP with one that nobody asked for. */
import type * as http from "node:http";

const MAXIMUM_INTERIM_RESPONSES = 8;

/** Calls `onFault` when a request gets more interim responses than any server sends, or one that changes the protocol. */
export function limit(request: http.ClientRequest, onFault: (reason: string) => void): void {
    let count = 0;
    request.on("information", () => {
        count++;
        if (count > MAXIMUM_INTERIM_RESPONSES) {
            onFault("too many interim responses");
        }
    });
    // Without a listener the runtime closes the connection, and the request ends without any event but that.
    request.once("upgrade", (_response, socket) => {
        socket.destroy();
        onFault("another protocol that was not requested");
    });
}
