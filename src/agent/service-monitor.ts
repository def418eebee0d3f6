/** Checks that the agent's HTTP service accepts connections, and writes the blackboard section `backend`. */
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
        const reachable = await acceptsConnections(this.address);
        if (reachable === this.board.read("backend").reachable) {
            return;
        }
        this.journal.emit(reachable ? "backend-reachable" : "backend-unreachable", { address: this.address });
        this.board.write("backend", { ...states.unknownBackend, reachable });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        // No resources to release: each probe closes its own connection.
    }
}

function acceptsConnections(address: string): Promise<boolean> {
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
