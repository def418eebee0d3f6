/** Background work of a controller, awaited on disposal. */
import type * as event from "./event.js";

/** Starts tasks without waiting for them, so that one slow peer does not delay the other controllers. */
export class BackgroundTasks implements AsyncDisposable {
    private readonly running = new Set<Promise<void>>();
    private readonly names = new Set<string>();
    private readonly stop = new AbortController();

    constructor(private readonly controller: string, private readonly journal: event.Journal) {}

    /** Aborted on disposal; tasks pass it to their waits. */
    get signal(): AbortSignal {
        return this.stop.signal;
    }

    /** Starts a task, unless one of the same name still runs or the controller is disposed. */
    start(name: string, task: () => Promise<void>): void {
        if (this.stop.signal.aborted || this.names.has(name)) {
            return;
        }
        this.names.add(name);
        this.spawn(() => task().finally(() => this.names.delete(name)));
    }

    /** Starts a task, also beside others of its kind. */
    spawn(task: () => Promise<void>): void {
        const run: Promise<void> = task()
            .catch(error =>
                this.journal.emit("controller-step-failed", { controller: this.controller, reason: String(error) })
            )
            .finally(() => this.running.delete(run));
        this.running.add(run);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        while (this.running.size > 0) {
            await Promise.all(this.running);
        }
    }
}
