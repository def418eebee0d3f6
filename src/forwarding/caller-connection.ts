/** One connection of a caller: what is known of it, and how it is ended without losing its last answer. */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as reservations from "../memory/reservation.js";
import type * as deliveryProgress from "./delivery-progress.js";

/** Time in milliseconds from the opening of a connection within which its first request arrives. */
const FIRST_REQUEST_MS = 300;
/** Time in milliseconds for which a caller may send on after the last answer on its connection. */
const LINGER_MS = 1000;

export interface Connection {
    readonly openedAt: number;
    /** Calls that have not ended. */
    calls: number;
    /** Answers whose calls have ended and that have not been sent yet. */
    deliveries: number;
    /** Response to the latest request; those before it are sent first. */
    latest: http.ServerResponse | undefined;
    /** A call on it has ended. */
    hasServed: boolean;
    /** This side has ended it, or ends it with the latest response; requests that arrive later cannot be answered. */
    isClosing: boolean;
    /** This side has ended it with an answer that belongs to whatever request arrives. */
    isAnswered: boolean;
    /** Time since which no call is in flight. */
    idleSince: number;
    /** Bytes that had been read when the latest request was complete. */
    readBytes: number;
    /** Time at which bytes of a head that is not complete were noticed. */
    headSince: number | undefined;
    readonly memory: reservations.Reservation;
    readonly delivery: deliveryProgress.DeliveryProgress;
}

/** Counts an answer whose call has ended until it has been sent. */
export function trackDelivery(connection: Connection, response: http.ServerResponse): void {
    if (response.headersSent && !response.writableFinished && !response.destroyed) {
        connection.deliveries++;
        response.once("close", () => {
            connection.deliveries--;
        });
    }
}

/** Sends the last bytes on a connection. What its caller still sends is not read by a call any more. */
export function endConnection(socket: net.Socket, bytes: string): void {
    if (!socket.writable) {
        return;
    }
    socket.end(bytes);
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
}

/**
 * The HTTP server destroys a connection right after its last response. If the caller is still sending the body of its
 * call, that resets the connection, and the response may be lost; so this waits until the body has been discarded.
 */
export function lingerAtClose(socket: net.Socket, connection: Connection): void {
    const destroySoon = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
        const request = connection.latest?.req;
        if (request === undefined || request.complete || request.destroyed) {
            destroySoon();
            return;
        }
        socket.end();
        request.once("close", destroySoon);
    };
}

/** No call is in flight, no answer waits for the caller, and no body of a call that was refused is being read. */
export function isIdle({ calls, deliveries, isClosing, latest }: Connection): boolean {
    return calls === 0 && deliveries === 0 && !isClosing && latest?.req.complete !== false;
}

export function isFresh(connection: Connection, now: number): boolean {
    return !connection.hasServed && connection.calls === 0 && !connection.isClosing
        && now - connection.openedAt < FIRST_REQUEST_MS;
}
