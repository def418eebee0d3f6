/** Admits requests at an entry by asking the holders of the customers' groups for grants. */
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import * as assignment from "./assignment.js";
import * as buckets from "./bucket.js";
import * as constants from "./constants.js";
import * as demandQueues from "./demand-queue.js";
import type * as transports from "./transport.js";
import type * as types from "./types.js";

export interface AdmissionClientOptions {
    readonly board: boards.Board;
    readonly transport: transports.Transport;
    readonly clock: clocks.Clock;
    /** Number of customer groups; must be the same in all processes. */
    readonly groupCount?: number;
}

interface Group {
    readonly number: number;
    readonly queue: demandQueues.DemandQueue;
    /** Cancels the timer of the group. */
    timer: AbortController | undefined;
    timerAt: number;
}

type ResolveRequest = (outcome: outcomes.Outcome<void>) => void;

export class AdmissionClient implements AsyncDisposable {
    private readonly groups: readonly Group[];
    private readonly pending = new Map<number, ResolveRequest>();
    private readonly subscription: Disposable;
    private lastRequest = 0;

    constructor(private readonly options: AdmissionClientOptions) {
        const count = options.groupCount ?? constants.DEFAULT_GROUP_COUNT;
        this.groups = Array.from({ length: count }, (_, number) => ({
            number,
            queue: new demandQueues.DemandQueue(),
            timer: undefined,
            timerAt: Number.POSITIVE_INFINITY,
        }));
        this.subscription = options.board.subscribe(
            "holders",
            () => this.groups.forEach(group => this.advance(group)),
        );
    }

    /**
     * Waits up to `waitMs` for an admission within the rate of the customer. On success the request must start
     * immediately.
     *
     * Fails with `rate-exceeded` if the rate is used up, `budget-unavailable` if no holder replied,
     * `budget-customer-unknown` or `admission-cancelled`. The request has not run in any of these cases.
     */
    admit(customer: string, waitMs: number, signal?: AbortSignal): Promise<outcomes.Outcome<void>> {
        const configured = this.options.board.read("configuration").customers.get(customer);
        if (configured === undefined) {
            return Promise.resolve(outcomes.fail("budget-customer-unknown", customer));
        }
        if (signal?.aborted === true) {
            return Promise.resolve(outcomes.fail("admission-cancelled", customer));
        }
        const group = this.groups[assignment.groupOf(customer, this.groups.length)];
        const excessMs = excessWaitMs(
            buckets.parametersOf(configured.rate),
            group.queue.waitingCount(customer),
            waitMs,
        );
        if (excessMs > 0) {
            return Promise.resolve(outcomes.fail("rate-exceeded", customer, Math.ceil(excessMs)));
        }
        return new Promise(resolve => this.enqueue(group, customer, waitMs, signal, resolve));
    }

    /** Refuses all waiting requests. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.subscription[Symbol.dispose]();
        this.groups.forEach(group => group.timer?.abort());
        const waiting = [...this.pending.values()];
        this.pending.clear();
        waiting.forEach(resolve => resolve(outcomes.fail("admission-cancelled", "the process stops")));
    }

    private enqueue(
        group: Group,
        customer: string,
        waitMs: number,
        signal: AbortSignal | undefined,
        resolve: ResolveRequest,
    ): void {
        const request = ++this.lastRequest;
        const cancel = () => {
            group.queue.cancel(customer, request);
            this.resolveRequest({ request, outcome: outcomes.fail("admission-cancelled", customer) });
        };
        signal?.addEventListener("abort", cancel, { once: true });
        this.pending.set(request, outcome => {
            signal?.removeEventListener("abort", cancel);
            resolve(outcome);
        });
        const now = this.now();
        group.queue.add(customer, request, now, now + waitMs).forEach(decision => this.resolveRequest(decision));
        this.advance(group);
    }

    /** Refuses requests whose deadline has passed, sends the next call and sets the timer. */
    private advance(group: Group): void {
        const now = this.now();
        group.queue.expire(this.recordOf(group), now).forEach(decision => this.resolveRequest(decision));
        const call = group.queue.nextCall(this.recordOf(group), now);
        if (call !== undefined) {
            void this.send(group, call);
        }
        this.schedule(group, now);
    }

    private async send(group: Group, call: demandQueues.Call): Promise<void> {
        const manifestVersion = this.options.board.read("configuration").version;
        const { epoch, demands } = call;
        const request = { group: group.number, epoch, demands, manifestVersion };
        const reply = await this.options.transport.acquire(call.address, request);
        group.queue.callFinished(call, reply, this.recordOf(group), this.now()).forEach(decision =>
            this.resolveRequest(decision)
        );
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
        void this.options.clock.sleep(wakeAt - now, timer.signal).then(() => {
            if (!timer.signal.aborted) {
                group.timerAt = Number.POSITIVE_INFINITY;
                this.advance(group);
            }
        });
    }

    private resolveRequest(decision: demandQueues.Decision): void {
        const resolve = this.pending.get(decision.request);
        this.pending.delete(decision.request);
        resolve?.(decision.outcome);
    }

    private recordOf(group: Group): types.HolderRecord | undefined {
        return this.options.board.read("holders").groups.find(record => record.group === group.number);
    }

    private now(): number {
        return this.options.clock.now();
    }
}

/**
 * Milliseconds by which the request would outwait `waitMs` because of the requests queued ahead of it at this entry.
 * Refusing such a request immediately bounds the queue of a customer that exceeds its rate.
 */
function excessWaitMs(parameters: buckets.BucketParameters, ahead: number, waitMs: number): number {
    return (ahead + 1 - parameters.depth) / parameters.tokensPerMs - waitMs;
}
