/** Admission of requests at an entry: asks the holders of the customers' groups. */
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import * as assignment from "./assignment.js";
import * as buckets from "./bucket.js";
import * as constants from "./constants.js";
import * as demandQueues from "./demand-queue.js";
import type * as transports from "./transport.js";
import type * as types from "./types.js";

export interface Dependencies {
    readonly board: boards.Board;
    readonly transport: transports.Transport;
    readonly clock: clocks.Clock;
    /** Number of customer groups; the same in all processes. */
    readonly groups?: number;
}

interface Group {
    readonly number: number;
    readonly queue: demandQueues.DemandQueue;
    /** Ends the timer of the group. */
    timer: AbortController | undefined;
    timerAt: number;
}

type Settle = (outcome: outcomes.Outcome<void>) => void;

export class AdmissionClient implements AsyncDisposable {
    private readonly groups: readonly Group[];
    private readonly waiting = new Map<number, Settle>();
    private readonly subscription: Disposable;
    private lastRequest = 0;

    constructor(private readonly dependencies: Dependencies) {
        const count = dependencies.groups ?? constants.DEFAULT_GROUPS;
        this.groups = Array.from({ length: count }, (_, number) => ({
            number,
            queue: new demandQueues.DemandQueue(),
            timer: undefined,
            timerAt: Number.POSITIVE_INFINITY,
        }));
        this.subscription = dependencies.board.subscribe(
            "holders",
            () => this.groups.forEach(group => this.advance(group)),
        );
    }

    /**
     * Waits up to `waitMs` for an admission under the rate of the customer. On success the request starts now.
     *
     * Fails, always without having run anything, with `rate-exceeded` when the rate is used up, `budget-unavailable`
     * when no holder answered, `budget-customer-unknown` and `admission-cancelled`.
     */
    admit(customer: string, waitMs: number, signal?: AbortSignal): Promise<outcomes.Outcome<void>> {
        const known = this.dependencies.board.read("configuration").customers.get(customer);
        if (known === undefined) {
            return Promise.resolve(outcomes.fail("budget-customer-unknown", customer));
        }
        if (signal?.aborted === true) {
            return Promise.resolve(outcomes.fail("admission-cancelled", customer));
        }
        const group = this.groups[assignment.groupOf(customer, this.groups.length)];
        const excessMs = waitBeyond(buckets.shapeOf(known.rate), group.queue.waiting(customer), waitMs);
        if (excessMs > 0) {
            return Promise.resolve(outcomes.fail("rate-exceeded", customer, Math.ceil(excessMs)));
        }
        return new Promise(resolve => this.enqueue(group, customer, waitMs, signal, resolve));
    }

    /** Refuses what still waits. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        this.groups.forEach(group => group.timer?.abort());
        const waiting = [...this.waiting.values()];
        this.waiting.clear();
        waiting.forEach(settle => settle(outcomes.fail("admission-cancelled", "the process stops")));
    }

    private enqueue(
        group: Group,
        customer: string,
        waitMs: number,
        signal: AbortSignal | undefined,
        resolve: Settle,
    ): void {
        const request = ++this.lastRequest;
        const cancel = () => {
            group.queue.cancel(customer, request);
            this.settle({ request, outcome: outcomes.fail("admission-cancelled", customer) });
        };
        signal?.addEventListener("abort", cancel, { once: true });
        this.waiting.set(request, outcome => {
            signal?.removeEventListener("abort", cancel);
            resolve(outcome);
        });
        const now = this.now();
        group.queue.add(customer, request, now, now + waitMs).forEach(decision => this.settle(decision));
        this.advance(group);
    }

    /** Settles what is due, sends the next call and sets the timer. */
    private advance(group: Group): void {
        const now = this.now();
        group.queue.expire(this.holder(group), now).forEach(decision => this.settle(decision));
        const call = group.queue.nextCall(this.holder(group), now);
        if (call !== undefined) {
            void this.send(group, call);
        }
        this.schedule(group, now);
    }

    private async send(group: Group, call: demandQueues.Call): Promise<void> {
        const manifestVersion = this.dependencies.board.read("configuration").version;
        const { epoch, demands } = call;
        const request = { group: group.number, epoch, demands, manifestVersion };
        const reply = await this.dependencies.transport.acquire(call.address, request);
        group.queue.finished(call, reply, this.holder(group), this.now()).forEach(decision => this.settle(decision));
        this.advance(group);
    }

    private schedule(group: Group, now: number): void {
        const wakeAt = Math.max(now + 1, group.queue.wakeAt());
        if (wakeAt === group.timerAt) {
            return;
        }
        group.timer?.abort();
        group.timerAt = wakeAt;
        if (wakeAt === Number.POSITIVE_INFINITY) {
            return;
        }
        const timer = new AbortController();
        group.timer = timer;
        void this.dependencies.clock.sleep(wakeAt - now, timer.signal).then(() => {
            if (!timer.signal.aborted) {
                group.timerAt = Number.POSITIVE_INFINITY;
                this.advance(group);
            }
        });
    }

    private settle(decision: demandQueues.Decision): void {
        const settle = this.waiting.get(decision.request);
        this.waiting.delete(decision.request);
        settle?.(decision.outcome);
    }

    private holder(group: Group): types.Holder | undefined {
        return this.dependencies.board.read("holders").groups.find(holder => holder.group === group.number);
    }

    private now(): number {
        return this.dependencies.clock.now();
    }
}

/**
 * Milliseconds by which the wait is too short for the requests ahead at this entry alone; refusing such a request at
 * once keeps the queue of a customer over its rate bounded.
 */
function waitBeyond(shape: buckets.Shape, ahead: number, waitMs: number): number {
    return (ahead + 1 - shape.depth) / shape.tokensPerMs - waitMs;
}
