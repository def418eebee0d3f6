/** Polls the engine beside the agent and writes the board section `backend`. */
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as boards from "../daemon/board.js";
import * as states from "./backend-state.js";
import type * as engines from "./engine-client.js";

/** Polls that fail before an engine that does not refuse connections counts as unreachable. */
const FAILURES_BEFORE_UNREACHABLE = 3;

/** Called when the engine was lost or replaced; `boot` names the run that ended. */
export type CrashListener = (boot: string, now: number) => void;

export interface MonitoredEngine {
    readonly engine: engines.EngineClient;
    readonly board: boards.Board;
    readonly journal: event.Journal;
    readonly crashed: CrashListener;
}

export class EngineMonitor implements controllers.Controller {
    readonly name = "engine-monitor";
    private failures = 0;

    constructor(private readonly source: MonitoredEngine) {}

    async step(now: number): Promise<void> {
        const load = await this.source.engine.load();
        const previous = this.source.board.read("backend");
        if (!load.ok) {
            this.failures++;
            const refused = load.failure.kind === "engine-unreachable";
            if (previous.reachable && (refused || this.failures >= FAILURES_BEFORE_UNREACHABLE)) {
                this.lost(previous, now);
                this.source.board.write("backend", { ...states.unknownBackend, boot: "" });
            }
            return;
        }
        this.failures = 0;
        if (previous.boot !== load.value.boot) {
            this.replaced(previous, load.value.boot, now);
        }
        const { boot, weights, ...rest } = load.value;
        this.source.board.write("backend", { reachable: true, boot, weights, load: rest });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.source.engine[Symbol.asyncDispose]();
    }

    private lost(previous: states.Backend, now: number): void {
        this.source.journal.emit("backend-unreachable", {
            address: this.source.engine.address,
            backendBoot: previous.boot,
        });
        this.source.crashed(previous.boot, now);
    }

    private replaced(previous: states.Backend, boot: string, now: number): void {
        this.source.journal.emit("backend-reachable", { address: this.source.engine.address, backendBoot: boot });
        if (previous.boot !== "") {
            this.source.crashed(previous.boot, now);
        }
    }
}
