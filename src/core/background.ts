/** Background work of a controller, awaited on disposal. */
import type * as event from "./event.js";

/** Starts tasks without waiting for them, so that one slow peer does not delay the other controllers. */
export class BackgroundTasks implements AsyncDisposable {
    private readonly running = new Set<Promise<void>>();
    private readonly runningNames = new Set<string>();
    private readonly abortController = new AbortController();

    constructor(private readonly controller: string, private readonly journal: event.Journal) {}

    /** Aborted on disposal; tasks pass it to their waits so that these end early. */
    get signal(): AbortSignal {
        return this.abortController.signal;
    }

    /** Starts a task, unless one of the same name is still running or the tasks are disposed. */
    start(name: string, task: () => Promise<void>): void {
        if (this.abortController.signal.aborted || this.runningNames.has(name)) {
            return;
        }
        this.runningNames.add(name);
        this.spawn(() => task().finally(() => this.runningNames.delete(name)));
    }

    /** Starts a task, whether or not others are running. Logs its error. */
    spawn(task: () => Promise<void>): void {
        const promise: Promise<void> = task()
            .catch(error =>
                this.journal.emit("controller-step-failed", { controller: this.controller, reason: String(error) })
            )
            .finally(() => this.running.delete(promise));
        this.running.add(promise);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abortController.abort();
        while (this.running.size > 0) {
            await Promise.all(this.running);
        }
    }
}
