/** A response that a server sends byte by byte, whatever it has been asked. */
import type * as net from "node:net";

export interface ScriptedResponse {
    readonly pieces: readonly Piece[];
    /** How the server ends the connection after the response. */
    readonly end: "open" | "ended" | "reset";
}

/** Bytes that are written together, one character each. */
export interface Piece {
    readonly bytes: string;
    /** Pause in milliseconds before them. */
    readonly pauseMs: number;
}

export async function send(socket: net.Socket, { pieces, end }: ScriptedResponse): Promise<void> {
    for (const { bytes, pauseMs } of pieces) {
        await new Promise(resolve => setTimeout(resolve, pauseMs));
        await new Promise(resolve => void socket.write(bytes, "latin1", resolve));
    }
    if (end === "ended") {
        socket.end();
    }
    else if (end === "reset") {
        socket.resetAndDestroy();
    }
}
