/** Requests of one group that wait for admission at an entry, and the calls that ask for it. No I/O. */
import * as outcomes from "../core/outcome.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

export interface Call {
    readonly address: string;
    readonly epoch: number;
    readonly demands: readonly messages.Demand[];
    readonly sentAt: number;
}

/** Result for one waiting request. */
export interface Decision {
    readonly request: number;
    readonly outcome: outcomes.Outcome<void>;
}

interface Waiter {
    readonly request: number;
    readonly since: number;
    readonly deadline: number;
}

interface CustomerQueue {
    waiters: Waiter[];
    /** The primary has no token before this time. */
    notBefore: number;
    /** Grants left over by cancelled requests; usable within their validity. */
    spare: number;
    spareUntil: number;
}

const FAILURE_PAUSE_MS = 20;
const DEFAULT_RETRY_MS = 1000;

export class DemandQueue {
    private readonly customers = new Map<string, CustomerQueue>();
    private call: Call | undefined;
    private notBefore = Number.NEGATIVE_INFINITY;
    private target = "";
    private epoch = 0;
    private answeredAt = Number.NEGATIVE_INFINITY;

    /** Adds a request. It is decided at once when a grant is left over. */
    add(customer: string, request: number, now: number, deadline: number): readonly Decision[] {
        const queue = this.queue(customer);
        if (queue.waiters.length === 0 && queue.spare > 0 && now < queue.spareUntil) {
            queue.spare--;
            return [{ request, outcome: outcomes.succeed(undefined) }];
        }
        queue.waiters.push({ request, since: now, deadline });
        return [];
    }

    /** Removes a request whose caller gave up. */
    cancel(customer: string, request: number): void {
        const queue = this.queue(customer);
        queue.waiters = queue.waiters.filter(waiter => waiter.request !== request);
    }

    waiting(customer: string): number {
        return this.customers.get(customer)?.waiters.length ?? 0;
    }

    /** The call to send now, if any. Requests that arrive while one is under way go into the next. */
    nextCall(holder: types.Holder | undefined, now: number): Call | undefined {
        this.follow(holder);
        if (this.call !== undefined || this.target === "" || now < this.notBefore) {
            return undefined;
        }
        const demands = [...this.customers]
            .filter(([, queue]) => queue.waiters.length > 0 && now >= queue.notBefore)
            .map(([customer, queue]) => demandOf(customer, queue, now));
        if (demands.length === 0) {
            return undefined;
        }
        this.call = { address: this.target, epoch: this.epoch, demands, sentAt: now };
        return this.call;
    }

    /**
     * Takes the reply to a call, or `undefined` when the call failed or timed out.
     *
     * A grant counts from the moment the call was sent, so the reply of a holder that was paused admits nothing.
     */
    finished(
        call: Call,
        reply: messages.AcquireReply | undefined,
        holder: types.Holder | undefined,
        now: number,
    ): readonly Decision[] {
        if (this.call !== call) {
            return [];
        }
        this.call = undefined;
        if (reply === undefined || reply.failure !== undefined) {
            this.redirect(call, reply?.primaryAddress ?? "", holder, now);
            return [];
        }
        this.answeredAt = now;
        return reply.grants.flatMap(grant => this.use(call, grant, now));
    }

    /** Ends a call that can bring no valid grant any more, and refuses the requests whose wait is over. */
    expire(holder: types.Holder | undefined, now: number): readonly Decision[] {
        if (this.call !== undefined && now >= this.call.sentAt + constants.GRANT_VALIDITY_MS) {
            this.finished(this.call, undefined, holder, now);
        }
        const decisions: Decision[] = [];
        for (const [customer, queue] of this.customers) {
            const late = queue.waiters.filter(waiter => now >= waiter.deadline);
            if (late.length > 0) {
                queue.waiters = queue.waiters.filter(waiter => now < waiter.deadline);
                decisions.push(...late.map(waiter => ({
                    request: waiter.request,
                    outcome: this.refusal(customer, queue, now),
                })));
            }
            if (queue.waiters.length === 0 && now >= queue.notBefore && now >= queue.spareUntil) {
                this.customers.delete(customer);
            }
        }
        return decisions;
    }

    /** Next time at which `expire` or `nextCall` has something to do; infinite when nothing waits. */
    wakeAt(): number {
        const times: number[] = [];
        if (this.call !== undefined) {
            times.push(this.call.sentAt + constants.GRANT_VALIDITY_MS);
        }
        for (const queue of this.customers.values()) {
            times.push(queue.waiters.reduce((earliest, waiter) => Math.min(earliest, waiter.deadline), Infinity));
            // Without a known holder there is nothing to do before one is announced.
            if (queue.waiters.length > 0 && this.call === undefined && this.target !== "") {
                times.push(Math.max(queue.notBefore, this.notBefore));
            }
        }
        return Math.min(Number.POSITIVE_INFINITY, ...times);
    }

    private use(call: Call, grant: messages.Grant, now: number): readonly Decision[] {
        const queue = this.queue(grant.customer);
        if (grant.nextInMs > 0) {
            // The advice counts from the reply of the primary; the next call shall arrive when the token is there.
            queue.notBefore = now + Math.max(1, grant.nextInMs - (now - call.sentAt));
        }
        const validUntil = call.sentAt + Math.min(grant.validForMs, constants.GRANT_VALIDITY_MS);
        if (now >= validUntil) {
            return [];
        }
        const admitted = queue.waiters.splice(0, grant.count);
        const spare = grant.count - admitted.length;
        if (spare > 0) {
            queue.spare = now < queue.spareUntil ? queue.spare + spare : spare;
            queue.spareUntil = Math.min(validUntil, now < queue.spareUntil ? queue.spareUntil : validUntil);
        }
        return admitted.map(waiter => ({ request: waiter.request, outcome: outcomes.succeed(undefined) }));
    }

    private refusal(customer: string, queue: CustomerQueue, now: number): outcomes.Outcome<void> {
        const answered = now - this.answeredAt < ANSWER_CURRENT_MS;
        const retryAfterMs = Math.ceil(queue.notBefore > now ? queue.notBefore - now : DEFAULT_RETRY_MS);
        return answered
            ? outcomes.fail("rate-exceeded", customer, retryAfterMs)
            : outcomes.fail("budget-unavailable", customer, DEFAULT_RETRY_MS);
    }

    /** A change of the holders names the primary to ask; in between the replies do. */
    private follow(holder: types.Holder | undefined): void {
        if (holder !== undefined && holder.epoch > this.epoch) {
            this.epoch = holder.epoch;
            this.target = holder.primary.address;
        }
    }

    /** Asks the process named in the reply, or else the other holder: the standby may have taken over unrecorded. */
    private redirect(call: Call, hint: string, holder: types.Holder | undefined, now: number): void {
        this.notBefore = now + FAILURE_PAUSE_MS;
        const known = [holder?.primary.address ?? "", holder?.standby?.address ?? ""].filter(address => address !== "");
        const useful = hint !== "" && hint !== call.address && hint !== this.askedBefore;
        const other = known.find(address => address !== call.address);
        this.askedBefore = call.address;
        this.target = useful ? hint : other ?? known.at(0) ?? this.target;
    }

    /** A hint back to the process asked just before would only alternate between two that both refuse. */
    private askedBefore = "";

    private queue(customer: string): CustomerQueue {
        const known = this.customers.get(customer);
        if (known !== undefined) {
            return known;
        }
        const queue = {
            waiters: [],
            notBefore: Number.NEGATIVE_INFINITY,
            spare: 0,
            spareUntil: Number.NEGATIVE_INFINITY,
        };
        this.customers.set(customer, queue);
        return queue;
    }
}

/** Age up to which a reply of the primary tells a rate refusal from a missing holder. */
const ANSWER_CURRENT_MS = 1000;

function demandOf(customer: string, queue: CustomerQueue, now: number): messages.Demand {
    return { customer, count: queue.waiters.length, waitedMs: Math.floor(now - queue.waiters[0].since) };
}
