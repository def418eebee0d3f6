/**
 * Waits until a call can be placed: for shared parts of its prompt that another call prefills, and for a server with
 * capacity. Both waits are in the queue of the service, where other decisions see them.
 */
import type * as event from "../core/event.js";
import type * as callTimes from "../scheduling/call-times.js";
import * as expectedWaits from "../scheduling/expected-wait.js";
import * as callPlacements from "./call-placement.js";
import type * as callQueues from "./call-queue.js";
import * as callRefusals from "./call-refusal.js";
import type * as types from "./types.js";
import type * as waitPolicies from "./wait-policy.js";

/** Longest wait in milliseconds for shared parts that another call prefills. Prefilling them takes about as long. */
const MAXIMUM_PREFILL_WAIT_MS = 350;
/** Interval in milliseconds at which a call that waits for shared parts is tried. */
const PREFILL_POLL_MS = 40;

export interface WaitingSubject extends waitPolicies.WaitingCall {
    /** Number of earlier attempts. */
    readonly attempts: number;
    readonly policy: waitPolicies.WaitPolicy;
    readonly log: (name: event.EventName, fields: event.Fields) => void;
}

/** How a wait ends. `place` is called within the pass of the queue, so that the next calls see the load of this one. */
export interface WaitOutcome<Placed> {
    readonly place: (choice: callPlacements.ServerChoice) => Placed;
    readonly refuse: (refusal: callRefusals.CallRefusal) => void;
}

/** The wait of one call for one attempt. */
export class CallWait<Placed> implements callQueues.QueuedCall {
    readonly priority: number;
    readonly arrivedAt: number;
    readonly startTimes: callTimes.StartTimes | undefined;
    private readonly startedAt: number;
    private readonly queue: callQueues.CallQueue;
    private readonly result: Promise<Placed | undefined>;
    private resolve: (placed: Placed | undefined) => void = () => undefined;
    private reject: (error: unknown) => void = () => undefined;
    /** Next attempt to place a call that waits for shared parts; undefined once it waits for a server. */
    private nextPollAt: number | undefined;
    private serverTimeoutAt = Infinity;
    private reason: callRefusals.UnplacedReason = "all-full";
    private expectedMs: number | undefined;
    private isCancelled = false;
    private isQueued = false;

    constructor(
        private readonly ports: types.CallPorts,
        private readonly subject: WaitingSubject,
        private readonly outcome: WaitOutcome<Placed>,
    ) {
        this.priority = subject.policy.rankOf(subject.admission);
        this.arrivedAt = subject.arrivedAt;
        this.startTimes = subject.policy.startTimesOf(subject);
        this.startedAt = ports.clock.now();
        this.queue = ports.queues.of(subject.admission.service);
        this.result = new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
        });
    }

    /** Resolves when the call has been placed; undefined if it was refused or cancelled. */
    run(): Promise<Placed | undefined> {
        const choice = this.choose();
        if (this.isAwaitingParts(choice)) {
            this.nextPollAt = this.startedAt + PREFILL_POLL_MS;
            this.enqueue();
        }
        else if (choice.kind === "server" && !this.isBehindOthers) {
            this.resolve(this.outcome.place(choice));
        }
        else if (this.beginServerWait(choice)) {
            this.enqueue();
        }
        return this.result;
    }

    /** Ends the wait without a result. */
    cancel(): void {
        this.isCancelled = true;
        this.queue.remove(this);
        this.count("cancelled");
        this.resolve(undefined);
    }

    get waitsForServer(): boolean {
        return this.nextPollAt === undefined;
    }

    /** The time at which a call that waits for shared parts is refused depends on its wait for a server, if any. */
    get timeoutAt(): number {
        return this.serverTimeoutAt;
    }

    get requirements(): string | undefined {
        const { admission } = this.subject;
        const { requirements } = admission.placement;
        if (!this.waitsForServer || requirements === undefined) {
            return undefined;
        }
        return this.startTimes === undefined ? requirements : `${requirements} ${admission.route.name}`;
    }

    /** Whether other calls go first although there is a server for this one. */
    private get isBehindOthers(): boolean {
        return this.startTimes === undefined
            ? this.queue.waitingForServer > 0
            : this.queue.isBehindAlike(this, this.startedAt);
    }

    isReady(now: number): boolean {
        return this.nextPollAt === undefined || now >= this.nextPollAt;
    }

    tryPlace(): boolean {
        if (this.isCancelled) {
            return true;
        }
        const choice = this.choose();
        if (!this.waitsForServer) {
            const now = this.ports.clock.now();
            if (this.isAwaitingParts(choice)) {
                this.nextPollAt = now + PREFILL_POLL_MS;
                return false;
            }
            this.nextPollAt = undefined;
            const waitedMs = Math.round(now - this.startedAt);
            this.subject.log("call-waits", {
                reason: "part-being-read",
                service: this.subject.admission.service,
                waitedMs,
            });
            if (choice.kind !== "server") {
                return !this.beginServerWait(choice);
            }
        }
        if (choice.kind === "quarantined") {
            this.refuse(callRefusals.quarantined(choice, this.subject.executedAttempts));
            return true;
        }
        if (choice.kind === "none") {
            this.reason = choice.reason;
            if (!this.isLasting(choice)) {
                return false;
            }
            this.refuse(callRefusals.unplaced(choice.reason, this.subject.executedAttempts));
            return true;
        }
        this.ports.queues.throughputOf(this.subject.admission.service)
            .recordPlacement(this.priority, this.ports.clock.now());
        this.count("placed");
        this.resolve(this.outcome.place(choice));
        return true;
    }

    /** Whether the call is known to wait for longer than that is of use. Nothing is known while servers are excluded. */
    isFutile(ahead: expectedWaits.QueueAhead, now: number): boolean {
        const isKnown = this.startTimes !== undefined && this.waitsForServer && this.reason === "all-full";
        if (!isKnown || this.subject.executedAttempts > 0) {
            return false;
        }
        this.expectedMs = this.subject.policy.expectedWaitMs(this.subject, ahead, now);
        return expectedWaits.isFutile(this.expectedMs, this.startTimes!, now);
    }

    onTimeout(): void {
        this.refuse(callRefusals.unplaced(this.reason, this.subject.executedAttempts));
    }

    onError(error: unknown): void {
        this.reject(error);
    }

    /** Begins the wait for a server. False if the call was refused instead. */
    private beginServerWait(choice: callPlacements.Placement): boolean {
        const { admission, executedAttempts } = this.subject;
        if (choice.kind === "quarantined") {
            this.refuse(callRefusals.quarantined(choice, executedAttempts));
            return false;
        }
        const now = this.ports.clock.now();
        this.serverTimeoutAt = this.subject.policy.waitEndsAt(this.subject, now);
        if (choice.kind === "none") {
            this.reason = choice.reason;
            const isTooLong = executedAttempts === 0 && now + (choice.pauseMs ?? 0) > this.serverTimeoutAt;
            if (isTooLong || this.isLasting(choice)) {
                this.refuse(callRefusals.unplaced(choice.reason, executedAttempts, choice.pauseMs));
                return false;
            }
        }
        this.subject.log("call-waits", {
            reason: this.reason,
            waiting: this.queue.waitingForServer,
            service: admission.service,
            rank: this.priority,
            limitMs: Math.round(this.serverTimeoutAt - now),
        });
        return true;
    }

    /** Whether waiting is of no use to a call that may be refused as not run. */
    private isLasting({ reason }: callPlacements.Placement & { readonly kind: "none"; }): boolean {
        return this.subject.executedAttempts === 0 && callPlacements.LASTING_REASONS.has(reason);
    }

    private choose(): callPlacements.Placement {
        return this.subject.admission.placement.choose();
    }

    /** Whether the call waits a short time longer for shared parts that are being prefilled for another call. */
    private isAwaitingParts(choice: callPlacements.Placement): boolean {
        const now = this.ports.clock.now();
        return choice.kind === "server" && this.subject.attempts === 0
            && now - this.startedAt < MAXIMUM_PREFILL_WAIT_MS
            && this.subject.admission.cache.isBeingPrefilled(choice.candidate, now);
    }

    private enqueue(): void {
        this.isQueued = true;
        this.ports.queues.enqueue(this.subject.admission.service, this);
    }

    private refuse(refusal: callRefusals.CallRefusal): void {
        const { admission, policy } = this.subject;
        const { retryAfterMs: usualMs } = refusal;
        const unmet = { isFull: this.reason === "all-full", expectedMs: this.expectedMs };
        const retryAfterMs = usualMs === undefined || refusal.failure !== "no-server-available"
            ? usualMs
            : policy.retryAfterMs(admission, { ...unmet, usualMs }, this.ports.clock.now());
        this.count("refused");
        this.outcome.refuse({ ...refusal, retryAfterMs, expectedWaitMs: this.expectedMs });
        this.resolve(undefined);
    }

    /** Counts the end of the wait, if there was one. */
    private count(end: types.WaitEnd): void {
        if (this.isQueued) {
            this.isQueued = false;
            const reason = this.serverTimeoutAt === Infinity ? "part-being-read" : this.reason;
            const waitedMs = this.ports.clock.now() - this.startedAt;
            this.ports.meter.waited(this.subject.admission.service, reason, end, waitedMs);
        }
    }
}
