/**
 * Allocates ports for the processes of one deployment.
 *
 * A free port in the ephemeral range can be occupied by an outgoing connection or by another deployment before its
 * process listens. Ports are therefore allocated from blocks below that range. A listening socket on the first port of
 * a block reserves the block against other deployments.
 */
import * as net from "node:net";

const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 100;
const BLOCK_COUNT = 200;

export class PortBlock implements AsyncDisposable {
    private allocatedCount = 0;

    private constructor(private readonly base: number, private readonly reservation: net.Server) {}

    /** Reserves a block; rejects when all blocks are reserved. */
    static async reserve(): Promise<PortBlock> {
        const preferredBlock = process.pid % BLOCK_COUNT;
        for (let offset = 0; offset < BLOCK_COUNT; offset++) {
            const base = FIRST_PORT + (preferredBlock + offset) % BLOCK_COUNT * PORTS_PER_BLOCK;
            const reservation = await listen(base);
            if (reservation !== undefined) {
                return new PortBlock(base, reservation);
            }
        }
        throw new Error("all blocks of ports are reserved");
    }

    /** Returns ports that no other call has returned. Throws when the block has too few left. */
    allocate(count: number): readonly number[] {
        if (this.allocatedCount + count >= PORTS_PER_BLOCK) {
            throw new Error(`a deployment cannot use more than ${PORTS_PER_BLOCK - 1} ports`);
        }
        const ports = Array.from({ length: count }, (_, index) => this.base + this.allocatedCount + index + 1);
        this.allocatedCount += count;
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
