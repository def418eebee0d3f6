/** Polls the agent's engine and writes the blackboard section `backend`. */
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import * as states from "./backend-state.js";
import type * as engineClients from "./engine-client.js";

/** Consecutive failed polls after which the engine counts as unreachable; a refused connection counts at once. */
const FAILURES_BEFORE_UNREACHABLE = 3;

/** Called when the engine became unreachable or restarted; `boot` is the identifier of the boot that ended. */
export type CrashListener = (boot: string, now: number) => void;

export interface EngineMonitorOptions {
    readonly engine: engineClients.EngineClient;
    readonly board: boards.Board;
    readonly journal: event.Journal;
    readonly onCrash: CrashListener;
}

export class EngineMonitor implements controllers.Controller {
    readonly name = "engine-monitor";
    private consecutiveFailures = 0;

    constructor(private readonly options: EngineMonitorOptions) {}

    async step(now: number): Promise<void> {
        const load = await this.options.engine.load();
        const previous = this.options.board.read("backend");
        if (!load.ok) {
            this.consecutiveFailures++;
            const refused = load.failure.kind === "engine-unreachable";
            if (previous.reachable && (refused || this.consecutiveFailures >= FAILURES_BEFORE_UNREACHABLE)) {
                this.reportUnreachable(previous, now);
                this.options.board.write("backend", { ...states.unknownBackend, boot: "" });
            }
            return;
        }
        this.consecutiveFailures = 0;
        if (previous.boot !== load.value.boot) {
            this.reportRestart(previous, load.value.boot, now);
        }
        const { boot, weights, ...rest } = load.value;
        this.options.board.write("backend", { reachable: true, boot, weights, load: rest });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.options.engine[Symbol.asyncDispose]();
    }

    private reportUnreachable(previous: states.BackendState, now: number): void {
        this.options.journal.emit("backend-unreachable", {
            address: this.options.engine.address,
            backendBoot: previous.boot,
        });
        this.options.onCrash(previous.boot, now);
    }

    private reportRestart(previous: states.BackendState, boot: string, now: number): void {
        this.options.journal.emit("backend-reachable", { address: this.options.engine.address, backendBoot: boot });
        if (previous.boot !== "") {
            this.options.onCrash(previous.boot, now);
        }
    }
}
