/** Whether a response is complete when it ends. */
import type * as http from "node:http";
import type * as net from "node:net";
import * as messageHeads from "./message-head.js";

export class ResponseCompletion {
    private wasReset = false;

    /** To be created before the request gets its connection. */
    constructor(private readonly request: http.ClientRequest) {
        request.once("socket", socket => this.watch(socket));
    }

    /** To be called when the response has ended. */
    isComplete(response: http.IncomingMessage): boolean {
        // A server that closes before it has read the request has not produced the whole answer either.
        const wasCutOff = this.wasReset || !this.request.writableFinished;
        const { complete, statusCode = 0, headers } = response;
        return complete && !(wasCutOff && messageHeads.endsWithConnection(this.request.method, statusCode, headers));
    }

    private watch(socket: net.Socket): void {
        // Node reports data and a reset that arrive together as a normal end. A socket that was reset has no remote
        // address any more.
        const detectReset = () => {
            this.wasReset = socket.remoteAddress === undefined;
        };
        socket.prependOnceListener("end", detectReset);
        this.request.once("close", () => void socket.off("end", detectReset));
    }
}
