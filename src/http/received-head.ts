/** The head of a response as its bytes arrive, which the parsed fields do not show in full. */
import type * as http from "node:http";
import type * as net from "node:net";
import * as byteBlocks from "../memory/byte-blocks.js";
import * as messageHeads from "./message-head.js";

export class ReceivedHead {
    /** What has arrived up to the read that completed the head. */
    private readonly bytes = new byteBlocks.ByteBlocks();

    /** To be created before the request gets its connection. */
    constructor(request: http.ClientRequest) {
        request.once("socket", socket => this.watch(request, socket));
    }

    /**
     * Reason why no answer can be read from the response; undefined if its head is valid. To be called once, with the first
     * response that is not an interim one.
     */
    fault({ statusCode = 0, headers }: http.IncomingMessage): string | undefined {
        // Whoever reads the body keeps this object until its end.
        const text = this.bytes.takeAll().toString("latin1");
        return messageHeads.responseFault(statusCode, headers) ?? messageHeads.textFault(text);
    }

    private watch(request: http.ClientRequest, socket: net.Socket): void {
        // The bytes of a read may be valid during this call only.
        const collect = (chunk: Buffer) => this.bytes.add(Buffer.from(chunk));
        const stop = () => {
            socket.off("data", collect);
            request.off("response", stop).off("close", stop);
        };
        // Before the parser gets them.
        socket.prependListener("data", collect);
        request.prependListener("response", stop).once("close", stop);
    }
}
