/**
 * Reads one connection to a backend server into a buffer that all connections share, which the parser of the runtime copies
 * from at once. By default each read allocates 64 KB, which stay in memory until they are collected.
 */
import type * as net from "node:net";
import type * as clocks from "../clock/clock.js";
import type * as eventLoop from "../event-loop/types.js";

/** Bytes that one read takes from a connection; an answer that nobody reads holds as many at least. */
const READ_BYTES = 16 * 1024;
/** Buffer of all reads; its content is valid until the read has been passed on. */
const READ_BUFFER = Buffer.allocUnsafeSlow(READ_BYTES);
/**
 * Time in milliseconds for a read after which the next one waits for the next turn of the event loop, as a read of many small
 * chunks takes. The runtime would do up to 32 reads of a connection before it looks at any other.
 */
const SLOW_READ_MS = 1;

export interface ReaderPorts {
    readonly clock: Pick<clocks.Clock, "now">;
    /** Takes the time for which the reads of an answer occupy the event loop. */
    readonly recorder: eventLoop.WorkRecorder;
}

export class ConnectionReader {
    readonly options: net.OnReadOpts = {
        buffer: READ_BUFFER,
        callback: bytes => {
            this.receive(READ_BUFFER.subarray(0, bytes));
            return !this.isWaiting;
        },
    };
    /** The call whose answer is read. */
    work: eventLoop.Work | undefined;
    private socket: net.Socket | undefined;
    /** Reads are delivered in the next turn of the event loop. */
    private isWaiting = false;
    /** Copies of reads that arrived meanwhile, since something else resumed the connection. */
    private readonly waiting: Buffer[] = [];

    constructor(private readonly ports: ReaderPorts) {}

    /** Called once the connection is created, before its first read. */
    attach(socket: net.Socket): void {
        this.socket = socket;
        const push = socket.push.bind(socket);
        socket.push = (chunk, encoding) => {
            if ((chunk ?? undefined) === undefined) {
                // The end of the connection follows the reads that wait.
                this.waiting.splice(0).forEach(bytes => this.deliver(bytes));
            }
            return push(chunk, encoding);
        };
    }

    private receive(bytes: Buffer): void {
        if (this.isWaiting) {
            this.waiting.push(Buffer.from(bytes));
        }
        else {
            this.deliver(bytes);
        }
    }

    /** Passes on bytes that are valid during this call only. */
    private deliver(bytes: Buffer): void {
        const { clock, recorder } = this.ports;
        const startedAt = clock.now();
        deliver(this.socket!, bytes);
        const elapsedMs = clock.now() - startedAt;
        if (this.work !== undefined) {
            recorder.record(this.work, elapsedMs, bytes.length);
        }
        if (elapsedMs >= SLOW_READ_MS && !this.isWaiting) {
            this.isWaiting = true;
            setImmediate(() => this.continue());
        }
    }

    /** Continues in a new turn of the event loop. */
    private continue(): void {
        this.isWaiting = false;
        const socket = this.socket!;
        if (socket.destroyed) {
            return;
        }
        const next = this.waiting.shift();
        if (next !== undefined) {
            this.deliver(next);
        }
        if (this.waiting.length > 0 && !this.isWaiting) {
            this.isWaiting = true;
            setImmediate(() => this.continue());
        }
        // A paused connection is resumed by whoever paused it.
        if (!this.isWaiting && socket.readableFlowing === true) {
            socket.resume();
        }
    }
}

function deliver(socket: net.Socket, bytes: Buffer): void {
    if (socket.listenerCount("data") > 0 && socket.readableFlowing === true && socket.readableLength === 0) {
        socket.emit("data", bytes);
    }
    else {
        // Nobody takes them now, such as between two calls.
        socket.push(Buffer.from(bytes));
    }
}
