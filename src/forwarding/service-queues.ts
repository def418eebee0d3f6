/** One call queue per service, dispatched after changes and periodically while calls are queued. */
import type * as clocks from "../clock/clock.js";
import * as throughputs from "../scheduling/service-throughput.js";
import * as callQueues from "./call-queue.js";

/** Dispatch interval in milliseconds, for changes without a notification such as the end of a server's exclusion. */
const DISPATCH_INTERVAL_MS = 20;

export class ServiceQueues implements Disposable {
    private readonly byService = new Map<string, callQueues.CallQueue>();
    private readonly throughputByService = new Map<string, throughputs.ServiceThroughput>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly clock: clocks.Clock) {}

    of(service: string): callQueues.CallQueue {
        const queue = this.byService.get(service) ?? new callQueues.CallQueue();
        this.byService.set(service, queue);
        return queue;
    }

    enqueue(service: string, call: callQueues.QueuedCall): void {
        this.of(service).enqueue(call, this.clock.now());
        this.observe(service);
        this.schedule();
    }

    /** Tries to place the queued calls of one service, or of all services. */
    dispatch(service?: string): void {
        for (const name of service === undefined ? this.byService.keys() : [service]) {
            if (this.of(name).size > 0) {
                this.observe(name);
                this.of(name).dispatch(this.clock.now());
                this.observe(name);
            }
        }
    }

    /** Rate at which calls of the service have been placed lately while others waited. */
    throughputOf(service: string): throughputs.ServiceThroughput {
        const throughput = this.throughputByService.get(service) ?? new throughputs.ServiceThroughput();
        this.throughputByService.set(service, throughput);
        return throughput;
    }

    private observe(service: string): void {
        this.throughputOf(service).observe(this.of(service).waitingForServer > 0, this.clock.now());
    }

    [Symbol.dispose](): void {
        clearTimeout(this.timer);
    }

    private schedule(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.dispatch();
            if ([...this.byService.values()].some(queue => queue.size > 0)) {
                this.schedule();
            }
        }, DISPATCH_INTERVAL_MS);
    }
}
