/** Runs calls at most once: claims each call in the store before it runs, and settles the calls of lost claims. */
import type * as clock from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import type * as httpCalls from "../platform/http-call.js";
import type * as platform from "../platform/types.js";
import * as deadlines from "./deadline.js";
import * as commits from "./group-commit.js";
import * as observations from "./observation-table.js";
import * as records from "./record-group.js";
import * as settlement from "./settlement.js";
import type * as types from "./types.js";

/** First and longest interval of the reads of a record that a live agent holds; each read may transfer 900 KB. */
const POLL_INTERVAL_MS = 250;
const LONGEST_POLL_INTERVAL_MS = 1000;
/** Interval of the checks of an observed claim whose holder is alive and records the end itself. */
const LIVE_CHECK_INTERVAL_MS = 5000;
/** Longest time that an answer waits for the write of its result; the answer is true without the write. */
const RESULT_WAIT_MS = 1000;
const LOOKUP_TIMEOUT_MS = 2000;
/** Operations that may wait for the store; bounds the memory in an outage. */
const MAXIMUM_PENDING_OPERATIONS = 4096;
const FLUSH_POLL_MS = 20;

export interface Call {
    readonly customer: string;
    readonly route: manifest.Route;
    readonly key: string;
    readonly requestId: string;
    /** Grows with each attempt of the entry for the same request. */
    readonly attempt: number;
    /** Hash of method, target and body. */
    readonly bodyHash: string;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    /** Stops a call that has not started; a call that has started runs to its end. */
    readonly signal?: AbortSignal;
}

export type LookupCall = Pick<Call, "customer" | "route" | "key" | "requestId" | "deadline">;

export interface Answer {
    readonly response: types.ServiceResponse;
    /** The call ran earlier, or by another request. */
    readonly replayed: boolean;
}

/** The right to send the call to the service once. */
export interface Permit {
    /** Value of `Idempotency-Key` for the service; differs between customers that use the same key. */
    readonly serviceKey: string;
    readonly timeoutMs: number;
    /** Must be asked directly before the first byte is sent; false forbids the call. */
    mayStart(): boolean;
}

export type Execute = (permit: Permit) => Promise<httpCalls.HttpResult>;

export type LookupResult =
    | { readonly state: "none" | "claimed" | "not-run"; }
    | { readonly state: "unknown"; readonly retryAfterMs?: number; }
    | { readonly state: "done"; readonly answer: outcomes.Outcome<Answer>; };

export interface ServiceLookup {
    lookup(
        route: manifest.Route,
        serviceKey: string,
        requestId: string,
        timeoutMs: number,
    ): Promise<settlement.ServiceAnswer>;
}

export interface CallLedgerOptions {
    readonly self: incarnations.Incarnation;
    readonly store: platform.ObjectStore;
    readonly time: clock.Clock;
    readonly journal: event.Journal;
    readonly liveness: membership.LivenessProbe;
    readonly service: ServiceLookup;
}

/** The end of a call and the moment from which the store says the same. */
interface Finished {
    readonly outcome: outcomes.Outcome<Answer>;
    readonly recorded: Promise<unknown>;
}

interface Running {
    readonly bodyHash: string;
    readonly outcome: Promise<outcomes.Outcome<Answer>>;
    finished: outcomes.Outcome<Answer> | undefined;
}

type Resolution =
    | { readonly kind: "running"; }
    | { readonly kind: "done"; readonly answer: outcomes.Outcome<Answer>; }
    | { readonly kind: "not-run"; }
    /** `retryAfterMs` is missing when the outcome cannot be found out. */
    | { readonly kind: "open"; readonly retryAfterMs?: number; };

export class CallLedger implements controllers.Controller {
    readonly name = "idempotency";
    private readonly committer: commits.GroupCommitter;
    private readonly running = new Map<string, Running>();
    private readonly observed = new observations.ObservationTable();

    constructor(private readonly options: CallLedgerOptions) {
        this.committer = new commits.GroupCommitter(options);
    }

    /**
     * Runs the call unless one with its key has run or may have run, and replays the response of an earlier run.
     *
     * Fails with `idempotency-key-reused`, `call-not-run` (no call with the key ran, and no attempt of the request up
     * to this one will), `earlier-call-not-run` (no call with the key ran), `call-not-claimed` (this attempt did not run
     * and will not), `idempotency-group-full`, `idempotency-group-unreadable`, `outcome-unknown`,
     * `response-not-stored` or `response-too-large`.
     */
    async run(call: Call, execute: Execute): Promise<outcomes.Outcome<Answer>> {
        const id = records.recordId(call.customer, call.route.name, call.key);
        const existing = this.running.get(id);
        if (existing !== undefined) {
            return this.join(call, existing, execute);
        }
        if (this.committer.pending >= MAXIMUM_PENDING_OPERATIONS) {
            return outcomes.refuse("call-not-claimed", "too many writes wait for the object API");
        }
        const finished = this.perform(call, id, execute);
        const running: Running = {
            bodyHash: call.bodyHash,
            outcome: finished.then(result => result.outcome),
            finished: undefined,
        };
        this.running.set(id, running);
        const result = await finished;
        running.finished = result.outcome;
        // Until the store has the end of the call, repeats are answered from memory.
        void result.recorded.then(() => this.running.delete(id));
        return result.outcome;
    }

    /** Finds out what became of a call without running it. Fails with `store-unavailable` and the like. */
    async lookup(call: LookupCall): Promise<outcomes.Outcome<LookupResult>> {
        const id = records.recordId(call.customer, call.route.name, call.key);
        const finished = this.running.get(id)?.finished;
        if (finished?.ok) {
            return outcomes.succeed({ state: "done", answer: replay(finished) });
        }
        if (this.running.has(id)) {
            return outcomes.succeed({ state: "claimed" });
        }
        const group = await this.committer.read(records.groupName(id));
        if (!group.ok) {
            return group;
        }
        const record = group.value.records.get(id);
        if (record === undefined) {
            return outcomes.succeed({ state: "none" });
        }
        return outcomes.succeed(lookupResult(await this.resolve(call, id, record)));
    }

    /** Settles the open calls that this process has seen. */
    async step(_now: number): Promise<void> {
        for (const due of this.observed.due(this.options.time.now())) {
            const group = await this.committer.read(records.groupName(due.id));
            if (!group.ok) {
                return;
            }
            const record = group.value.records.get(due.id);
            if (record?.claim.id !== due.claimId || !isOpen(record)) {
                this.observed.remove(due.claimId);
                continue;
            }
            const deadline = this.options.time.now() + LOOKUP_TIMEOUT_MS;
            await this.resolve({ ...due.call, requestId: record.claim.requestId, deadline }, due.id, record);
        }
    }

    /** Waits until the store has the results of all calls, or until the deadline; for a graceful shutdown. */
    async flush(deadline: number): Promise<void> {
        while (this.committer.pending > 0 && this.options.time.now() < deadline) {
            await this.options.time.sleep(FLUSH_POLL_MS);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.committer[Symbol.asyncDispose]();
    }

    /** A repeat in the same process takes the end of the call that is running. */
    private async join(call: Call, running: Running, execute: Execute): Promise<outcomes.Outcome<Answer>> {
        const outcome = await deadlines.before(this.options.time, running.outcome, call.deadline, call.signal);
        if (outcome === undefined) {
            return unknownOutcome("another call with the key is running", POLL_INTERVAL_MS);
        }
        if (running.bodyHash === call.bodyHash) {
            return joined(outcome);
        }
        // The running call may itself be the one with the wrong body; then the record decides about this one.
        return !outcome.ok && outcome.failure.kind === "idempotency-key-reused"
            ? this.run(call, execute)
            : outcomes.refuse("idempotency-key-reused", call.route.name);
    }

    private async perform(call: Call, id: string, execute: Execute): Promise<Finished> {
        const { time } = this.options;
        const preparedAt = time.now();
        const claim: types.Claim = {
            id: time.identifier(),
            incarnation: this.options.self,
            requestId: call.requestId,
            attempt: call.attempt,
            runWithinMs: Math.max(0, call.deadline - preparedAt),
        };
        const submission = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.claim(group, id, call.bodyHash, claim, wallTime),
        );
        const result = await deadlines.before(time, submission.result, call.deadline, call.signal);
        if (result === undefined) {
            const recorded = submission.withdraw() ? Promise.resolve() : this.release(call, id, claim);
            return { outcome: outcomes.refuse("call-not-claimed", call.route.name), recorded };
        }
        if (!result.ok) {
            return ended(result);
        }
        switch (result.value.kind) {
            case "claimed":
                return this.runClaimed(call, id, claim, execute);
            case "existing":
                return this.follow(call, id, result.value.record, execute);
            case "body-differs":
                return ended(outcomes.refuse("idempotency-key-reused", call.route.name));
            case "full":
                return ended(outcomes.refuse("idempotency-group-full", records.groupName(id)));
            case "superseded":
                return ended(outcomes.refuse("call-not-run", "a later attempt of the request was answered"));
        }
    }

    private async runClaimed(call: Call, id: string, claim: types.Claim, execute: Execute): Promise<Finished> {
        const { time } = this.options;
        // Settlement waits out the time limit of the claim, so before it the claim certainly stands.
        const mayStart = () => time.now() < call.deadline && !call.signal?.aborted;
        if (!mayStart()) {
            return this.notRun(call, id, claim, "it was cancelled or its time limit passed before it started");
        }
        const permit = { serviceKey: id, timeoutMs: call.deadline - time.now(), mayStart };
        const result = await execute(permit).catch(unexpectedEnd);
        switch (result.kind) {
            case "not-sent":
                return this.notRun(call, id, claim, `the service was not reached: ${result.detail}`);
            case "answered":
                return this.ran(call, id, claim, result.response, { response: result.response, replayed: false });
            case "oversized":
                return this.ran(call, id, claim, { ...result.response, body: Buffer.alloc(0) }, undefined);
            case "lost":
                return this.lost(call, id, claim, result.detail);
        }
    }

    /** After the time limit another agent may have settled the claim, so that the record alone can prove anything. */
    private notRun(call: Call, id: string, claim: types.Claim, detail: string): Finished {
        const stands = this.options.time.now() < call.deadline;
        const outcome = outcomes.refuse(stands ? "call-not-run" : "call-not-claimed", detail);
        return { outcome, recorded: this.release(call, id, claim) };
    }

    private async ran(
        call: Call,
        id: string,
        claim: types.Claim,
        response: types.ServiceResponse,
        answer: Answer | undefined,
    ): Promise<Finished> {
        const { time, journal } = this.options;
        const stored = answer === undefined ? records.digestOf(response) : records.storedResponse(response);
        const recorded = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.complete(group, id, claim, call.bodyHash, stored, wallTime),
        ).result.then(result => {
            if (result.ok && !result.value.applied) {
                journal.emit("call-ran-after-settlement", { record: id });
            }
        });
        await deadlines.before(time, recorded, Math.min(call.deadline, time.now() + RESULT_WAIT_MS));
        const outcome = answer === undefined
            ? outcomes.refuse("response-too-large", call.route.name)
            : outcomes.succeed(answer);
        return { outcome, recorded };
    }

    /** The service may have run the call and may still run it. */
    private async lost(call: Call, id: string, claim: types.Claim, detail: string): Promise<Finished> {
        const { journal } = this.options;
        journal.emit("call-outcome-lost", { record: id, reason: detail });
        if (call.route.lookupPath !== "") {
            const answer = await this.askService(call, id);
            if (answer.kind === "ran") {
                return this.ran(call, id, claim, answer.response, { response: answer.response, replayed: false });
            }
        }
        const recorded = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.markUnknown(group, id, claim, wallTime),
        ).result.then(result => {
            if (result.ok && result.value.record !== undefined) {
                this.observe(call, id, result.value.record);
            }
        });
        const retryAfterMs = call.route.lookupPath === "" ? undefined : call.route.settleAfterMs;
        return { outcome: unknownOutcome(detail, retryAfterMs), recorded };
    }

    /** Follows a record of another claim. A call that waited never runs: its caller may have been told `not-run`. */
    private async follow(call: Call, id: string, first: types.CallRecord, execute: Execute): Promise<Finished> {
        const { time } = this.options;
        let record = first;
        let pollMs = POLL_INTERVAL_MS;
        while (true) {
            const resolution = await this.resolve(call, id, record);
            if (resolution.kind === "done") {
                return ended(resolution.answer);
            }
            if (resolution.kind === "not-run") {
                const isEarlierAttempt = record.claim.requestId === call.requestId
                    && record.claim.attempt < call.attempt;
                return isEarlierAttempt && time.now() < call.deadline && !call.signal?.aborted
                    ? this.perform(call, id, execute)
                    : ended(outcomes.refuse("earlier-call-not-run", call.route.name));
            }
            if (resolution.kind === "open") {
                return ended(unknownOutcome("the earlier call with the key is not settled", resolution.retryAfterMs));
            }
            if (time.now() >= call.deadline || call.signal?.aborted) {
                return ended(unknownOutcome("another call with the key is running", POLL_INTERVAL_MS));
            }
            await time.sleep(Math.min(pollMs, call.deadline - time.now()), call.signal);
            pollMs = Math.min(pollMs * 2, LONGEST_POLL_INTERVAL_MS);
            const group = await this.committer.read(records.groupName(id));
            record = group.ok ? group.value.records.get(id) ?? record : record;
        }
    }

    /** Finds out what became of a recorded call, and records it. */
    private async resolve(call: LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        if (record.state === "done") {
            return { kind: "done", answer: restored(record.response) };
        }
        if (record.state === "not-run") {
            return { kind: "not-run" };
        }
        const observation = this.observe(call, id, record);
        if (record.state === "claimed" && observation.deadSince === undefined) {
            if (await this.liveness(record.claim.incarnation) !== "dead") {
                this.observed.postpone(record.claim.id, this.options.time.now() + LIVE_CHECK_INTERVAL_MS);
                return { kind: "running" };
            }
            this.observed.markDead(record.claim.id, this.options.time.now());
        }
        return this.settleOpen(call, id, record);
    }

    private async settleOpen(call: LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        const { time } = this.options;
        if (call.route.lookupPath === "") {
            this.observed.remove(record.claim.id);
            return { kind: "open" };
        }
        const observation = this.observe(call, id, record);
        const from = settlement.settleAt(record, observation, call.route.settleAfterMs);
        const askedAt = time.now();
        const conclusion = settlement.conclude(await this.askService(call, id), askedAt, from);
        if (conclusion.kind === "done") {
            const response = records.storedResponse(conclusion.response);
            void this.settle(id, record, { state: "done", response });
            return { kind: "done", answer: outcomes.succeed({ response: conclusion.response, replayed: true }) };
        }
        if (conclusion.kind === "not-run") {
            return this.settleNotRun(call, id, record);
        }
        const retryAfterMs = Math.max(POLL_INTERVAL_MS, Math.ceil((from ?? askedAt) - time.now()));
        this.observed.postpone(record.claim.id, time.now() + retryAfterMs);
        return { kind: "open", retryAfterMs };
    }

    /** Others act on the record, so `not-run` counts only when the store has confirmed it. */
    private async settleNotRun(call: LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        const { time } = this.options;
        const result = await deadlines.before(time, this.settle(id, record, { state: "not-run" }), call.deadline);
        if (!result?.ok) {
            return { kind: "open", retryAfterMs: POLL_INTERVAL_MS };
        }
        const current = result.value.record;
        if (result.value.applied) {
            return { kind: "not-run" };
        }
        return current?.state === "done"
            ? { kind: "done", answer: restored(current.response) }
            : { kind: "open", retryAfterMs: POLL_INTERVAL_MS };
    }

    private async settle(
        id: string,
        record: types.CallRecord,
        verdict: records.Verdict,
    ): Promise<outcomes.Outcome<records.UpdateResult>> {
        const result = await this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.settle(group, id, record.claim.id, verdict, wallTime),
        ).result;
        if (result.ok) {
            this.observed.remove(record.claim.id);
            this.options.journal.emit("call-settled", { record: id, state: result.value.record?.state });
        }
        return result;
    }

    private release(call: Call, id: string, claim: types.Claim): Promise<unknown> {
        return this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.release(group, id, claim, call.bodyHash, wallTime),
        ).result;
    }

    private async askService(call: LookupCall, id: string): Promise<settlement.ServiceAnswer> {
        const remainingMs = call.deadline - this.options.time.now();
        if (remainingMs <= 0) {
            return { kind: "no-answer", detail: "the deadline has passed" };
        }
        const timeoutMs = Math.min(LOOKUP_TIMEOUT_MS, remainingMs);
        return this.options.service.lookup(call.route, id, call.requestId, timeoutMs);
    }

    /** A second incarnation at the own address cannot run beside this one. */
    private async liveness(incarnation: incarnations.Incarnation): Promise<membership.Liveness> {
        if (incarnations.sameIncarnation(incarnation, this.options.self)) {
            return "alive";
        }
        return incarnation.address === this.options.self.address ? "dead" : this.options.liveness.probe(incarnation);
    }

    private observe(call: LookupCall, id: string, record: types.CallRecord): settlement.Observation {
        const { customer, route, key } = call;
        return this.observed.observe(id, record, { customer, route, key }, this.options.time.now());
    }
}

function ended(outcome: outcomes.Outcome<Answer>): Finished {
    return { outcome, recorded: Promise.resolve() };
}

/** An error that the client of the service did not foresee says nothing about the call. */
function unexpectedEnd(error: unknown): httpCalls.HttpResult {
    return { kind: "lost", detail: String(error) };
}

function isOpen(record: types.CallRecord): boolean {
    return record.state === "claimed" || record.state === "unknown";
}

function unknownOutcome(detail: string, retryAfterMs: number | undefined): outcomes.Refusal {
    return outcomes.refuse("outcome-unknown", detail, retryAfterMs);
}

function replay(outcome: outcomes.Outcome<Answer>): outcomes.Outcome<Answer> {
    return outcome.ok ? outcomes.succeed({ ...outcome.value, replayed: true }) : outcome;
}

/** The record of a call that was not run excludes late attempts of its own request only. */
function joined(outcome: outcomes.Outcome<Answer>): outcomes.Outcome<Answer> {
    return !outcome.ok && outcome.failure.kind === "call-not-run"
        ? outcomes.refuse("earlier-call-not-run", outcome.failure.detail)
        : replay(outcome);
}

function restored(stored: types.StoredResponse): outcomes.Outcome<Answer> {
    if (stored.kind === "digest") {
        return outcomes.refuse(
            "response-not-stored",
            `status ${stored.status}, ${stored.bytes} bytes, SHA-256 ${stored.sha256}`,
        );
    }
    const { status, headers } = stored;
    return outcomes.succeed({
        response: { status, headers, body: Buffer.from(stored.body, "base64") },
        replayed: true,
    });
}

function lookupResult(resolution: Resolution): LookupResult {
    switch (resolution.kind) {
        case "running":
            return { state: "claimed" };
        case "done":
            return { state: "done", answer: resolution.answer };
        case "not-run":
            return { state: "not-run" };
        case "open":
            return resolution.retryAfterMs === undefined
                ? { state: "unknown" }
                : { state: "unknown", retryAfterMs: resolution.retryAfterMs };
    }
}
