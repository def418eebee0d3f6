/** Connections of callers: their memory, the time for a head, and how they are closed. */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import type * as budgets from "../memory/budget.js";
import type * as reservations from "../memory/reservation.js";
import * as callerConnection from "./caller-connection.js";
import * as deliveryProgress from "./delivery-progress.js";

/** Bytes that a connection takes in the process and in the kernel. */
const CONNECTION_BYTES = 12 * 1024;
/** Interval in milliseconds at which the connections without calls are checked. */
const CHECK_INTERVAL_MS = 500;
/** Shares of the available memory that all purposes and the connections may use before idle connections are closed. */
const CROWDED_SHARE = 0.95;
const CONNECTIONS_SHARE = 0.3;
/** Part of such a share down to which they are closed. */
const RELIEF = 0.9;
/** Least time in milliseconds between two times at which idle connections are closed to make room. */
const ROOM_INTERVAL_MS = 50;
/** Connections beyond the capacity that get an answer, at a time. */
const MAXIMUM_REJECTED = 500;
/** Part of the connections beyond the limit that get an answer, and that are closing, at a time. */
const REJECTED_SHARE = 0.25;
const CLOSING_SHARE = 0.2;
/** Part of the connections that are closed at a time to make room for others. */
const ROOM_SHARE = 0.05;
const TIMEOUT_RESPONSE = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const CROWDED_RESPONSE =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";

export interface ConnectionPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly memory: budgets.MemoryBudget;
    /** Limits of the configuration; undefined while there is none. */
    readonly limits: () => fleet.CallLimits | undefined;
    /** Connections for which there are descriptors; undefined for no limit. */
    readonly maximumConnections?: number | undefined;
}

export class CallerConnections implements Disposable {
    private readonly connections = new Map<net.Socket, callerConnection.Connection>();
    private timer: NodeJS.Timeout | undefined;
    private roomMadeAt = -Infinity;
    private rejected = 0;
    private acceptedTotal = 0;
    private rejectedTotal = 0;

    constructor(private readonly ports: ConnectionPorts) {}

    /** Takes over a connection that was just opened. Closes it if there is no memory for it. */
    add(socket: net.Socket): void {
        this.acceptedTotal++;
        const now = this.ports.clock.now();
        const memory = this.findPlace(now) ? this.reserve(socket) : undefined;
        if (memory === undefined) {
            this.reject(socket);
            return;
        }
        const connection: callerConnection.Connection = {
            openedAt: now,
            calls: 0,
            deliveries: 0,
            latest: undefined,
            hasServed: false,
            isClosing: false,
            isAnswered: false,
            idleSince: now,
            readBytes: 0,
            headSince: undefined,
            memory,
            delivery: new deliveryProgress.DeliveryProgress(),
        };
        this.connections.set(socket, connection);
        socket.once("close", () => this.remove(socket, connection));
        callerConnection.lingerAtClose(socket, connection);
        this.timer ??= setInterval(() => this.check(this.ports.clock.now()), CHECK_INTERVAL_MS).unref();
    }

    /** Renders the connections in the Prometheus text format. */
    renderMetrics(): string {
        const limit = Number.isFinite(this.maximum) ? this.maximum : 0;
        return [
            `ibisstep_caller_connections ${this.connections.size}`,
            `ibisstep_caller_connections_limit ${limit}`,
            `ibisstep_caller_connections_total ${this.acceptedTotal}`,
            `ibisstep_caller_connections_rejected_total ${this.rejectedTotal}`,
            "",
        ].join("\n");
    }

    of(socket: net.Socket): callerConnection.Connection | undefined {
        return this.connections.get(socket);
    }

    beginCall(connection: callerConnection.Connection, response: http.ServerResponse): void {
        connection.calls++;
        connection.latest = response;
        connection.headSince = undefined;
    }

    endCall(connection: callerConnection.Connection, response: http.ServerResponse): void {
        callerConnection.trackDelivery(connection, response);
        connection.calls--;
        connection.hasServed = true;
        connection.idleSince = this.ports.clock.now();
        const request = connection.latest!.req;
        const recordRead = () => {
            connection.readBytes = request.socket.bytesRead;
        };
        if (request.complete) {
            recordRead();
        }
        else {
            // The rest of a body that was refused is no head.
            request.once("end", recordRead);
        }
    }

    /** A connection was opened a moment ago, and its first request is probably on the way. */
    awaitsFirstRequest(now: number): boolean {
        return [...this.connections.values()].some(connection => callerConnection.isFresh(connection, now));
    }

    /** Number of connections on which answers wait for a caller that reads slowly. */
    get waitingAnswers(): number {
        let count = 0;
        for (const [socket, { deliveries }] of this.connections) {
            count += socket.writableLength > 0 || deliveries > 0 ? 1 : 0;
        }
        return count;
    }

    /** Closes the idle connections, but not those on which the first request is probably on the way. */
    closeIdle(now: number): void {
        for (const [socket, connection] of this.connections) {
            if (connection.calls === 0 && connection.deliveries === 0 && !callerConnection.isFresh(connection, now)) {
                connection.isClosing = true;
                socket.end();
            }
        }
    }

    /** Ends connections whose head takes too long, counts the bytes of the others, and makes room if memory is short. */
    check(now: number): void {
        const limits = this.ports.limits();
        let lateHeads = 0;
        for (const [socket, connection] of this.connections) {
            if (!callerConnection.isIdle(connection)) {
                continue;
            }
            const headBytes = socket.bytesRead - connection.readBytes;
            connection.headSince = headBytes > 0 ? connection.headSince ?? now : undefined;
            resize(connection.memory, CONNECTION_BYTES + headBytes);
            if (limits === undefined) {
                continue;
            }
            if (connection.headSince !== undefined && now - connection.headSince > limits.headerTimeoutMs) {
                lateHeads++;
                this.end(socket, connection, TIMEOUT_RESPONSE);
            }
            else if (!connection.hasServed && now - connection.idleSince > limits.idleTimeoutMs) {
                this.end(socket, connection, "");
            }
        }
        this.report("head-timeout", lateHeads);
        this.endStalledDeliveries(now);
        this.makeRoom(0);
    }

    [Symbol.dispose](): void {
        clearInterval(this.timer);
    }

    /** Cuts answers of which their callers take nothing, as long as answers hold much of the memory. */
    private endStalledDeliveries(now: number): void {
        const { memory } = this.ports;
        let stalled = 0;
        for (const [socket, connection] of this.connections) {
            if (connection.calls > 0 || connection.deliveries === 0) {
                connection.delivery.reset();
            }
            else if (
                connection.delivery.hasStalled(socket, now)
                && deliveryProgress.isMemoryShort(memory.usage.answer, memory.availableBytes)
            ) {
                stalled++;
                socket.destroy();
            }
        }
        this.report("answer-not-read", stalled);
    }

    private reserve(socket: net.Socket): reservations.Reservation | undefined {
        const { memory } = this.ports;
        this.makeRoom(CONNECTION_BYTES);
        // The capacity binds, and not what is available at the moment: an entry that takes no connection seems dead.
        const hasCapacity = memory.heldBytes + CONNECTION_BYTES <= memory.capacityBytes;
        return hasCapacity ? memory.hold(socket.remoteAddress ?? "", "connection", CONNECTION_BYTES) : undefined;
    }

    /** Whether there is a descriptor for one more connection; the longest idle ones make room for it. */
    private findPlace(now: number): boolean {
        const { maximum } = this;
        if (this.connections.size < maximum) {
            return true;
        }
        const open = [...this.connections].filter(([, connection]) => !connection.isClosing);
        const excess = open.length + 1 - maximum;
        const idle = excess > 0 ? this.longestIdle(now).slice(0, Math.ceil(maximum * ROOM_SHARE)) : [];
        idle.forEach(([socket, connection]) => this.endIdle(socket, connection));
        this.report("descriptors", idle.length);
        const excessClosing = this.connections.size + 1 - maximum * (1 + CLOSING_SHARE);
        return idle.length >= excess && this.destroyClosing(excessClosing) >= excessClosing;
    }

    /** Destroys connections whose callers do not close them in time. Returns their number. */
    private destroyClosing(count: number): number {
        const closing = [...this.connections]
            .filter(([socket, { isClosing, calls }]) => isClosing && calls === 0 && socket.writableLength === 0)
            .slice(0, Math.max(0, Math.ceil(count)));
        for (const [socket, connection] of closing) {
            socket.destroy();
            this.remove(socket, connection);
        }
        return closing.length;
    }

    private reject(socket: net.Socket): void {
        this.rejectedTotal++;
        if (this.rejected >= Math.min(MAXIMUM_REJECTED, Math.ceil(this.maximum * REJECTED_SHARE))) {
            socket.destroy();
            return;
        }
        this.rejected++;
        socket.once("close", () => {
            this.rejected--;
        });
        callerConnection.endConnection(socket, CROWDED_RESPONSE);
    }

    private remove(socket: net.Socket, connection: callerConnection.Connection): void {
        if (!this.connections.delete(socket)) {
            return;
        }
        connection.memory[Symbol.dispose]();
        if (this.connections.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private get maximum(): number {
        return this.ports.maximumConnections ?? Infinity;
    }

    /** Closes connections without a call, the longest idle first, if they would leave too little for other purposes. */
    private makeRoom(bytes: number): void {
        const now = this.ports.clock.now();
        if (this.excessBytes(bytes, 1) <= 0 || now < this.roomMadeAt + ROOM_INTERVAL_MS) {
            return;
        }
        this.roomMadeAt = now;
        const closing = [...this.connections.values()].filter(connection => connection.isClosing);
        let missingBytes = this.excessBytes(bytes, RELIEF)
            - closing.reduce((sum, connection) => sum + connection.memory.bytes, 0);
        let closed = 0;
        for (const [socket, connection] of this.longestIdle(now)) {
            if (missingBytes <= 0) {
                break;
            }
            missingBytes -= connection.memory.bytes;
            closed++;
            this.endIdle(socket, connection);
        }
        this.report("memory", closed);
    }

    /** Bytes that are held beyond this part of what may be held, with `bytes` more for a connection. */
    private excessBytes(bytes: number, part: number): number {
        const { heldBytes, availableBytes, usage } = this.ports.memory;
        const limitBytes = availableBytes * part;
        return bytes + Math.max(
            heldBytes - limitBytes * CROWDED_SHARE,
            usage.connection - limitBytes * CONNECTIONS_SHARE,
        );
    }

    /** Connections without a call, the longest idle first. */
    private longestIdle(now: number): readonly (readonly [net.Socket, callerConnection.Connection])[] {
        return [...this.connections]
            .filter(([, connection]) =>
                callerConnection.isIdle(connection) && !callerConnection.isFresh(connection, now)
            )
            .sort(([, first], [, second]) => first.idleSince - second.idleSince);
    }

    private endIdle(socket: net.Socket, connection: callerConnection.Connection): void {
        const awaitsAnswer = !connection.hasServed || socket.bytesRead > connection.readBytes;
        this.end(socket, connection, awaitsAnswer ? CROWDED_RESPONSE : "");
    }

    private end(socket: net.Socket, connection: callerConnection.Connection, response: string): void {
        connection.isClosing = true;
        connection.isAnswered = response !== "";
        callerConnection.endConnection(socket, response);
    }

    private report(reason: string, count: number): void {
        if (count > 0) {
            this.ports.journal.emit("connections-closed", { reason, count, left: this.connections.size - count });
        }
    }
}

/** Sets the bytes of a reservation, even if they exceed the budget. */
function resize(reservation: reservations.Reservation, bytes: number): void {
    const growth = bytes - reservation.bytes;
    if (growth > 0) {
        reservation.grow(growth);
    }
    else if (growth < 0) {
        reservation.shrink(-growth);
    }
}
