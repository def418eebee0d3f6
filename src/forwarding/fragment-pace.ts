/**
 * Bounds the part of the event loop that bodies in many small chunks take. The runtime hands over each chunk by itself, so that
 * a body of a hundred kilobytes in chunks of one byte takes the time of many other calls. Few such uploads are read at once, and
 * with pauses between their reads; the others are not slowed down.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import * as readGates from "../http/read-gate.js";

/** Size in bytes below which a chunk is a fragment. */
const FRAGMENT_BYTES = 256;
/** Fragments that any upload may have. */
const FREE_FRAGMENTS = 4096;
/** Uploads with more fragments that are read at once. */
const MAXIMUM_UPLOADS = 4;
/** Pause of all such uploads after reads of one of them, as a multiple of the time that the reads took. */
const PAUSE_FACTOR = 2;
/** Time in milliseconds that is longer than the present turn of the event loop has left. */
const TURN_END_MS = 1;
/** Time in milliseconds for which the rest of a body that nobody needs is not read; its connection is closed meanwhile. */
const ABANDONED_MS = 5000;

/** The uploads of a process. */
export class FragmentPace {
    private uploads = 0;
    /** Time in milliseconds until which no such upload is read. */
    private pausedUntil = 0;
    private readonly gates = new WeakMap<net.Socket, readGates.ReadGate>();

    /** Begins to count the fragments of an upload. */
    begin({ socket }: http.IncomingMessage): UploadPace {
        return new UploadPace(this, socket);
    }

    /** For uploads only. False if too many are read. */
    tryEnter(): boolean {
        const isFree = this.uploads < MAXIMUM_UPLOADS;
        this.uploads += isFree ? 1 : 0;
        return isFree;
    }

    /** For uploads only. */
    leave(): void {
        this.uploads--;
    }

    /** For uploads only. Reads the connection no further in this turn of the event loop; the runtime would do many reads. */
    hold(socket: net.Socket, now: number): void {
        this.gateOf(socket).close(now, now + TURN_END_MS);
    }

    /** For uploads only. Reads the connection on after a pause, since its reads took `busyMs` milliseconds. */
    use(socket: net.Socket, busyMs: number, now: number): void {
        this.pausedUntil = Math.max(this.pausedUntil, now) + busyMs * PAUSE_FACTOR;
        this.gateOf(socket).close(now, this.pausedUntil);
    }

    /** For uploads only. Does not read the rest of a body. */
    stop(socket: net.Socket, now: number): void {
        this.gateOf(socket).close(now, now + ABANDONED_MS);
    }

    private gateOf(socket: net.Socket): readGates.ReadGate {
        const gate = this.gates.get(socket) ?? new readGates.ReadGate(socket);
        this.gates.set(socket, gate);
        return gate;
    }
}

/** The fragments of one upload. */
export class UploadPace implements Disposable {
    private fragments = 0;
    private isEntered = false;
    private isDisposed = false;
    /** Times in milliseconds of the first and the last fragment of this turn of the event loop. */
    private turn: { readonly startedAt: number; latestAt: number; } | undefined;

    constructor(private readonly pace: FragmentPace, private readonly socket: net.Socket) {}

    /** Counts a chunk. False if the upload is not to be read on, since too many others have small chunks. */
    count(bytes: number, now: number): boolean {
        if (bytes >= FRAGMENT_BYTES) {
            return true;
        }
        this.fragments++;
        if (this.fragments <= FREE_FRAGMENTS) {
            return true;
        }
        this.isEntered ||= this.pace.tryEnter();
        if (!this.isEntered) {
            return false;
        }
        if (this.turn === undefined) {
            this.turn = { startedAt: now, latestAt: now };
            this.pace.hold(this.socket, now);
            setImmediate(() => this.endTurn());
        }
        this.turn.latestAt = now;
        return true;
    }

    /** Does not read the rest of the body if it has many fragments. Returns whether it has. */
    abandon(now: number): boolean {
        const isFragmented = this.fragments > FREE_FRAGMENTS;
        if (isFragmented) {
            this.pace.stop(this.socket, now);
        }
        return isFragmented;
    }

    [Symbol.dispose](): void {
        this.isDisposed = true;
        if (this.isEntered) {
            this.isEntered = false;
            this.pace.leave();
        }
    }

    private endTurn(): void {
        const { startedAt, latestAt } = this.turn!;
        this.turn = undefined;
        if (!this.isDisposed) {
            this.pace.use(this.socket, latestAt - startedAt, latestAt);
        }
    }
}
