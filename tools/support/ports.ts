/**
 * Ports for the processes of one deployment.
 *
 * A free port of the ephemeral range can be taken by an outgoing connection or by another deployment before its process
 * listens. Blocks below that range, each reserved by a listening socket, are taken by nobody else.
 */
import * as net from "node:net";

const FIRST_PORT = 12_000;
const BLOCK_SIZE = 100;
const BLOCKS = 200;

export class PortBlock implements AsyncDisposable {
    private used = 0;

    private constructor(private readonly base: number, private readonly reservation: net.Server) {}

    /** Reserves a block; rejects when all are taken. */
    static async reserve(): Promise<PortBlock> {
        const first = process.pid % BLOCKS;
        for (let offset = 0; offset < BLOCKS; offset++) {
            const base = FIRST_PORT + (first + offset) % BLOCKS * BLOCK_SIZE;
            const reservation = await listen(base);
            if (reservation !== undefined) {
                return new PortBlock(base, reservation);
            }
        }
        throw new Error("all blocks of ports are taken");
    }

    /** Returns ports that no other call returned. */
    take(count: number): readonly number[] {
        if (this.used + count >= BLOCK_SIZE) {
            throw new Error(`a deployment has ${BLOCK_SIZE - 1} ports`);
        }
        const ports = Array.from({ length: count }, (_, index) => this.base + this.used + index + 1);
        this.used += count;
        return ports;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise(resolve => this.reservation.close(resolve));
    }
}

/** Returns undefined when the port is in use. */
function listen(port: number): Promise<net.Server | undefined> {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
