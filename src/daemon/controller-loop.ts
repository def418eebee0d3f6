/** Runs the controllers of a process periodically. */
import type * as clocks from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";

export interface Schedule {
    readonly controller: controllers.Controller;
    /** Pause between the end of a step and the start of the next, in milliseconds. */
    readonly intervalMs: number;
}

/** Starts one loop for each controller. If a step throws, the error is logged and the loop continues. */
export class ControllerLoop implements AsyncDisposable {
    private readonly abort = new AbortController();
    private readonly loops: readonly Promise<void>[];

    constructor(
        private readonly schedules: readonly Schedule[],
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
    ) {
        this.loops = schedules.map(schedule => this.run(schedule));
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abort.abort();
        await Promise.all(this.loops);
        for (const schedule of this.schedules) {
            await schedule.controller[Symbol.asyncDispose]();
        }
    }

    private async run(schedule: Schedule): Promise<void> {
        while (!this.abort.signal.aborted) {
            try {
                await schedule.controller.step(this.clock.now());
            }
            catch (error) {
                this.journal.emit("controller-step-failed", {
                    controller: schedule.controller.name,
                    reason: String(error),
                });
            }
            await this.clock.sleep(schedule.intervalMs, this.abort.signal);
        }
    }
}
