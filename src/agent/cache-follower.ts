/** Keeps the view of the engine's prefix cache up to date. Each step makes one long poll or fetches a snapshot. */
import type * as clocks from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import type * as views from "../routing/cache-view.js";
import type * as engineClients from "./engine-client.js";

/** Longest time for which the engine holds a poll open when there are no new events. */
const POLL_WAIT_MS = 1000;
/** Pause after a failed request. */
const RETRY_DELAY_MS = 200;

export class CacheFollower implements controllers.Controller {
    readonly name = "cache-follower";
    private readonly abort = new AbortController();

    constructor(
        private readonly engine: engineClients.EngineClient,
        private readonly view: views.CacheView,
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
    ) {}

    async step(now: number): Promise<void> {
        const wasValid = this.view.valid;
        const succeeded = wasValid ? await this.poll(now) : await this.rebuild(now);
        this.reportChange(wasValid, succeeded);
        if (!succeeded) {
            this.view.invalidate();
            await this.clock.sleep(RETRY_DELAY_MS, this.abort.signal);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.abort.abort();
    }

    private reportChange(wasValid: boolean, succeeded: boolean): void {
        const server = this.engine.address;
        if (wasValid && (!succeeded || !this.view.valid)) {
            const reason = succeeded
                ? "a gap in the cache events or a restart of the engine"
                : "the engine did not answer";
            this.journal.emit("cache-view-void", { server, reason });
        }
        else if (!wasValid && this.view.valid) {
            this.journal.emit("cache-view-rebuilt", { server, pieces: this.view.size });
        }
    }

    /** The engine's cursor is the last event sent; the view's is the next event expected, which is higher by 1. */
    private async poll(now: number): Promise<boolean> {
        const after = Math.max(0, this.view.position - 1);
        const page = await this.engine.cacheEvents(after, POLL_WAIT_MS, this.abort.signal);
        if (page.ok) {
            this.view.apply({ ...page.value, next: page.value.next + 1 }, now, this.clock.now());
        }
        return page.ok;
    }

    private async rebuild(now: number): Promise<boolean> {
        const snapshot = await this.engine.cacheSnapshot();
        if (snapshot.ok) {
            this.view.rebuild({ ...snapshot.value, next: snapshot.value.next + 1 }, now, this.clock.now());
        }
        return snapshot.ok && this.view.valid;
    }
}
