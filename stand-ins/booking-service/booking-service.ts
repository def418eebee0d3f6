/** Stand-in for an HTTP service that does not deduplicate calls: runs every booking it receives and counts the runs. */
import * as fastify from "fastify";
import type * as net from "node:net";
import type * as standIns from "../process.js";
import * as scriptedResponses from "../scripted-response.js";

/** Bytes that a part of a response lacks, and the time in milliseconds after which its connection is reset. */
const CUT_BYTES = 2;
const CUT_DELAY_MS = 20;
/** Header of a request with the response that it asks for. */
const SCRIPT_HEADER = "x-scripted-response";

export interface Control {
    /** Closes all connections at the next booking and refuses new ones for `restart_ms`; bookings are kept. */
    readonly crash?: "none" | "before-run" | "after-run";
    readonly restart_ms?: number;
    /** Delay in milliseconds before each run. */
    readonly delay_ms?: number;
    /** Number of following bookings that run but whose response is not sent. */
    readonly lose_answers?: number;
    /** Number of following bookings that run but whose response states no length and is reset after a part of it. */
    readonly cut_answers?: number;
}

interface Booking {
    readonly key: string;
    readonly request: unknown;
    readonly response: { readonly booking: number; readonly key: string; };
}

export interface BookingService extends standIns.StandIn {
    /** Number of runs by idempotency key. */
    readonly runs: ReadonlyMap<string, number>;
    /** Request headers of the last booking. */
    lastHeaders(): Readonly<Record<string, unknown>>;
    /** Number of connections accepted so far. */
    connectionCount(): number;
    control(change: Control): void;
}

/** Starts the stand-in on a loopback port; 0 selects a free one. */
export async function createBookingService(port = 0): Promise<BookingService> {
    const server = fastify.fastify({ forceCloseConnections: true });
    const bookings: Booking[] = [];
    const runs = new Map<string, number>();
    let state: Required<Control> = { crash: "none", restart_ms: 0, delay_ms: 0, lose_answers: 0, cut_answers: 0 };
    let headers: Readonly<Record<string, unknown>> = {};
    let restart: NodeJS.Timeout | undefined;
    let boundPort = port;
    let connections = 0;
    server.server.on("connection", () => connections++);
    const control = (change: Control): void => {
        state = { ...state, ...change };
    };
    const crash = (): void => {
        const restartMs = state.restart_ms;
        state = { ...state, crash: "none" };
        server.server.close();
        server.server.closeAllConnections();
        restart = setTimeout(() => server.server.listen(boundPort, "127.0.0.1"), restartMs);
    };
    const run = (key: string, request: unknown): Booking => {
        runs.set(key, (runs.get(key) ?? 0) + 1);
        const booking = { key, request, response: { booking: bookings.length + 1, key } };
        bookings.push(booking);
        return booking;
    };

    server.post("/bookings", async (request, reply) => {
        headers = request.headers;
        if (state.delay_ms > 0) {
            await new Promise(resolve => setTimeout(resolve, state.delay_ms).unref());
        }
        if (state.crash === "before-run") {
            reply.hijack();
            crash();
            return reply;
        }
        const booking = run(String(request.headers["idempotency-key"] ?? ""), request.body);
        if (state.crash === "after-run") {
            reply.hijack();
            crash();
            return reply;
        }
        if (request.headers[SCRIPT_HEADER] !== undefined) {
            reply.hijack();
            await sendScripted(request.raw.socket, String(request.headers[SCRIPT_HEADER]));
            return reply;
        }
        if (state.lose_answers > 0) {
            control({ lose_answers: state.lose_answers - 1 });
            reply.hijack();
            request.raw.socket.destroy();
            return reply;
        }
        if (state.cut_answers > 0) {
            control({ cut_answers: state.cut_answers - 1 });
            reply.hijack();
            const { socket } = request.raw;
            const part = JSON.stringify(booking.response).slice(0, -CUT_BYTES);
            socket.write(`HTTP/1.1 201 Created\r\nConnection: close\r\n\r\n${part}`, () => {
                setTimeout(() => void socket.resetAndDestroy(), CUT_DELAY_MS);
            });
            return reply;
        }
        return reply.code(201).send(booking.response);
    });
    server.get("/bookings", async (request, reply) => {
        if (request.headers[SCRIPT_HEADER] !== undefined) {
            reply.hijack();
            await sendScripted(request.raw.socket, String(request.headers[SCRIPT_HEADER]));
            return reply;
        }
        return { bookings: bookings.map(booking => booking.request) };
    });
    server.get<{ Params: { key: string; }; }>("/bookings/lookup/:key", async (request, reply) => {
        const found = bookings.find(booking => booking.key === request.params.key);
        return found === undefined ? reply.code(404).send({}) : reply.code(200).send(found.response);
    });
    server.get("/runs", async () => ({ runs: Object.fromEntries(runs) }));
    server.put<{ Body: Control; }>("/control", async request => {
        control(request.body);
        return state;
    });

    await server.listen({ port, host: "127.0.0.1" });
    boundPort = (server.server.address() as net.AddressInfo).port;
    return {
        address: `127.0.0.1:${boundPort}`,
        runs,
        lastHeaders: () => headers,
        connectionCount: () => connections,
        control,
        [Symbol.asyncDispose]: async () => {
            clearTimeout(restart);
            await server.close();
        },
    };
}

/** Sends the response that a request asks for in a header, as JSON in Base64. */
async function sendScripted(socket: net.Socket, script: string): Promise<void> {
    const response = JSON.parse(Buffer.from(script, "base64").toString()) as scriptedResponses.ScriptedResponse;
    // Fastify reads no further request after a response that it has not sent.
    await scriptedResponses.send(socket, response.end === "open" ? { ...response, end: "ended" } : response);
}
