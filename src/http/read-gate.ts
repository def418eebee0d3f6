/** Keeps a connection from being read for a time, while others go on to pause and resume it for reasons of their own. */
import type * as net from "node:net";

export class ReadGate implements Disposable {
    private readonly resume: () => net.Socket;
    /** The others want the connection to be read. */
    private isWanted = true;
    private opensAt = 0;
    private timer: NodeJS.Timeout | undefined;

    /** There is at most one gate for a connection. */
    constructor(private readonly socket: net.Socket) {
        const pause = socket.pause.bind(socket);
        this.resume = socket.resume.bind(socket);
        socket.resume = () => {
            this.isWanted = true;
            return this.timer === undefined ? this.resume() : socket;
        };
        socket.pause = () => {
            this.isWanted = false;
            return pause();
        };
        socket.once("close", () => this[Symbol.dispose]());
    }

    /** Stops reading until a time in milliseconds; an earlier one than before has no effect. */
    close(now: number, opensAt: number): void {
        if (opensAt <= Math.max(now, this.opensAt) || this.socket.destroyed) {
            return;
        }
        const wasWanted = this.isWanted;
        this.opensAt = opensAt;
        clearTimeout(this.timer);
        this.timer = setTimeout(() => this.open(), opensAt - now);
        this.socket.pause();
        this.isWanted = wasWanted;
    }

    [Symbol.dispose](): void {
        clearTimeout(this.timer);
    }

    private open(): void {
        this.timer = undefined;
        if (this.isWanted) {
            this.resume();
        }
    }
}
