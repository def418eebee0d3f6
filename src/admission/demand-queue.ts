/** Queue of the requests of one group that wait for admission at an entry, and the acquire calls for them. No I/O. */
import * as outcomes from "../core/outcome.js";
import * as constants from "./constants.js";
import type * as messages from "./messages.js";
import type * as types from "./types.js";

/** An acquire call to the primary of the group. */
export interface Call {
    readonly address: string;
    readonly epoch: number;
    readonly demands: readonly messages.Demand[];
    readonly sentAt: number;
}

/** Admission or refusal of one waiting request. */
export interface Decision {
    readonly request: number;
    readonly outcome: outcomes.Outcome<void>;
}

interface WaitingRequest {
    readonly request: number;
    readonly waitingSince: number;
    readonly deadline: number;
}

interface CustomerQueue {
    waiting: WaitingRequest[];
    /** Time before which the primary has no token for the customer. */
    notBefore: number;
    /** Grants for requests that were cancelled meanwhile; usable until `unusedGrantsValidUntil`. */
    unusedGrants: number;
    unusedGrantsValidUntil: number;
}

/** Delay before the next call after a failed one. */
const PAUSE_AFTER_FAILURE_MS = 20;
/** Retry delay reported to callers if the primary gave none. */
const DEFAULT_RETRY_MS = 1000;

export class DemandQueue {
    private readonly customers = new Map<string, CustomerQueue>();
    private callInProgress: Call | undefined;
    private nextCallNotBefore = Number.NEGATIVE_INFINITY;
    private target = "";
    private epoch = 0;
    private lastReplyAt = Number.NEGATIVE_INFINITY;

    /** Adds a request. It is admitted immediately if there is an unused grant. */
    add(customer: string, request: number, now: number, deadline: number): readonly Decision[] {
        const queue = this.queue(customer);
        if (queue.waiting.length === 0 && queue.unusedGrants > 0 && now < queue.unusedGrantsValidUntil) {
            queue.unusedGrants--;
            return [{ request, outcome: outcomes.succeed(undefined) }];
        }
        queue.waiting.push({ request, waitingSince: now, deadline });
        return [];
    }

    /** Removes a request that its caller cancelled. */
    cancel(customer: string, request: number): void {
        const queue = this.queue(customer);
        queue.waiting = queue.waiting.filter(waitingRequest => waitingRequest.request !== request);
    }

    waitingCount(customer: string): number {
        return this.customers.get(customer)?.waiting.length ?? 0;
    }

    /** The call to send now, if any. Requests that arrive during a call are part of the next one. */
    nextCall(record: types.HolderRecord | undefined, now: number): Call | undefined {
        this.updateTarget(record);
        if (this.callInProgress !== undefined || this.target === "" || now < this.nextCallNotBefore) {
            return undefined;
        }
        const demands = [...this.customers]
            .filter(([, queue]) => queue.waiting.length > 0 && now >= queue.notBefore)
            .map(([customer, queue]) => demandOf(customer, queue, now));
        if (demands.length === 0) {
            return undefined;
        }
        this.callInProgress = { address: this.target, epoch: this.epoch, demands, sentAt: now };
        return this.callInProgress;
    }

    /**
     * Processes the reply to a call; `undefined` if the call failed or timed out.
     *
     * The validity of a grant starts when the call is sent, so the late reply of a paused holder admits nothing.
     */
    callFinished(
        call: Call,
        reply: messages.AcquireReply | undefined,
        record: types.HolderRecord | undefined,
        now: number,
    ): readonly Decision[] {
        if (this.callInProgress !== call) {
            return [];
        }
        this.callInProgress = undefined;
        if (reply === undefined || reply.failure !== undefined) {
            this.redirect(call, reply?.primaryAddress ?? "", record, now);
            return [];
        }
        this.lastReplyAt = now;
        return reply.grants.flatMap(grant => this.applyGrant(call, grant, now));
    }

    /** Abandons a call whose grants would no longer be valid, and refuses the requests whose deadline has passed. */
    expire(record: types.HolderRecord | undefined, now: number): readonly Decision[] {
        if (this.callInProgress !== undefined && now >= this.callInProgress.sentAt + constants.GRANT_VALIDITY_MS) {
            this.callFinished(this.callInProgress, undefined, record, now);
        }
        const decisions: Decision[] = [];
        for (const [customer, queue] of this.customers) {
            const late = queue.waiting.filter(waitingRequest => now >= waitingRequest.deadline);
            if (late.length > 0) {
                queue.waiting = queue.waiting.filter(waitingRequest => now < waitingRequest.deadline);
                decisions.push(...late.map(waitingRequest => ({
                    request: waitingRequest.request,
                    outcome: this.refusal(customer, queue, now),
                })));
            }
            if (queue.waiting.length === 0 && now >= queue.notBefore && now >= queue.unusedGrantsValidUntil) {
                this.customers.delete(customer);
            }
        }
        return decisions;
    }

    /** Next time at which `expire` or `nextCall` must be called; infinity if no request waits. */
    wakeAt(): number {
        const times: number[] = [];
        if (this.callInProgress !== undefined) {
            times.push(this.callInProgress.sentAt + constants.GRANT_VALIDITY_MS);
        }
        for (const queue of this.customers.values()) {
            times.push(
                queue.waiting.reduce(
                    (earliest, waitingRequest) => Math.min(earliest, waitingRequest.deadline),
                    Infinity,
                ),
            );
            // Without a known holder there is no call to send until one is announced.
            if (queue.waiting.length > 0 && this.callInProgress === undefined && this.target !== "") {
                times.push(Math.max(queue.notBefore, this.nextCallNotBefore));
            }
        }
        return Math.min(Number.POSITIVE_INFINITY, ...times);
    }

    private applyGrant(call: Call, grant: messages.Grant, now: number): readonly Decision[] {
        const queue = this.queue(grant.customer);
        if (grant.nextInMs > 0) {
            // The delay starts at the reply of the primary. Subtracting the round trip lets the next call arrive on time.
            queue.notBefore = now + Math.max(1, grant.nextInMs - (now - call.sentAt));
        }
        const validUntil = call.sentAt + Math.min(grant.validForMs, constants.GRANT_VALIDITY_MS);
        if (now >= validUntil) {
            return [];
        }
        const admitted = queue.waiting.splice(0, grant.count);
        const unused = grant.count - admitted.length;
        if (unused > 0) {
            queue.unusedGrants = now < queue.unusedGrantsValidUntil ? queue.unusedGrants + unused : unused;
            queue.unusedGrantsValidUntil = Math.min(
                validUntil,
                now < queue.unusedGrantsValidUntil ? queue.unusedGrantsValidUntil : validUntil,
            );
        }
        return admitted.map(waitingRequest => ({
            request: waitingRequest.request,
            outcome: outcomes.succeed(undefined),
        }));
    }

    private refusal(customer: string, queue: CustomerQueue, now: number): outcomes.Outcome<void> {
        const hasRecentReply = now - this.lastReplyAt < RECENT_REPLY_MS;
        const retryAfterMs = Math.ceil(queue.notBefore > now ? queue.notBefore - now : DEFAULT_RETRY_MS);
        return hasRecentReply
            ? outcomes.fail("rate-exceeded", customer, retryAfterMs)
            : outcomes.fail("budget-unavailable", customer, DEFAULT_RETRY_MS);
    }

    /** Targets the primary of a newer record. Between two changes of the record the replies determine the target. */
    private updateTarget(record: types.HolderRecord | undefined): void {
        if (record !== undefined && record.epoch > this.epoch) {
            this.epoch = record.epoch;
            this.target = record.primary.address;
        }
    }

    /**
     * Targets the process named in the reply, or else the other holder: the standby may have taken over before the store
     * recorded it.
     */
    private redirect(call: Call, primaryHint: string, record: types.HolderRecord | undefined, now: number): void {
        this.nextCallNotBefore = now + PAUSE_AFTER_FAILURE_MS;
        const holders = [record?.primary.address ?? "", record?.standby?.address ?? ""].filter(address =>
            address !== ""
        );
        const isUsableHint = primaryHint !== "" && primaryHint !== call.address && primaryHint !== this.previousTarget;
        const other = holders.find(address => address !== call.address);
        this.previousTarget = call.address;
        this.target = isUsableHint ? primaryHint : other ?? holders.at(0) ?? this.target;
    }

    /**
     * Address of the last failed call. Redirections to it are ignored, since calls would otherwise alternate between two
     * processes that both refuse.
     */
    private previousTarget = "";

    private queue(customer: string): CustomerQueue {
        const known = this.customers.get(customer);
        if (known !== undefined) {
            return known;
        }
        const queue = {
            waiting: [],
            notBefore: Number.NEGATIVE_INFINITY,
            unusedGrants: 0,
            unusedGrantsValidUntil: Number.NEGATIVE_INFINITY,
        };
        this.customers.set(customer, queue);
        return queue;
    }
}

/** Maximum age of the last reply at which a refusal is attributed to the rate and not to a missing holder. */
const RECENT_REPLY_MS = 1000;

function demandOf(customer: string, queue: CustomerQueue, now: number): messages.Demand {
    return { customer, count: queue.waiting.length, waitedMs: Math.floor(now - queue.waiting[0].waitingSince) };
}
