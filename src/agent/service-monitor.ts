/** Checks that the plain service beside the agent accepts connections, and writes the board section `backend`. */
import * as net from "node:net";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import * as states from "./backend-state.js";

const CONNECT_TIMEOUT_MS = 500;

export class ServiceMonitor implements controllers.Controller {
    readonly name = "service-monitor";

    constructor(
        private readonly address: string,
        private readonly board: boards.Board,
        private readonly journal: event.Journal,
    ) {}

    async step(): Promise<void> {
        const reachable = await accepts(this.address);
        if (reachable === this.board.read("backend").reachable) {
            return;
        }
        this.journal.emit(reachable ? "backend-reachable" : "backend-unreachable", { address: this.address });
        this.board.write("backend", { ...states.unknownBackend, reachable });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        // Each probe closes its own connection.
    }
}

function accepts(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
        const finish = (result: boolean) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish(true));
        socket.once("timeout", () => finish(false));
        socket.once("error", () => finish(false));
    });
}
