/**
 * Runs calls at most once: claims each call in the store before it runs, and records how it ended.
 *
 * A call runs only after the store has confirmed its claim, and only within its deadline: others wait that long before
 * they settle the claim. `claim-resolver` finds out what became of the claims of others.
 */
import type * as clock from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as hashing from "../core/hashing.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as membership from "../membership/types.js";
import type * as httpCalls from "../object-api/http-call.js";
import type * as objectApi from "../object-api/types.js";
import type * as calls from "./call.js";
import * as resolvers from "./claim-resolver.js";
import * as deadlines from "./deadline.js";
import * as commits from "./group-commit.js";
import * as records from "./record-group.js";
import type * as types from "./types.js";

export type { Answer, Call, Execute, LookupCall, LookupResult, Permit } from "./call.js";

/** Longest interval of the reads of a record that a live agent holds; each read may transfer 900 KB. */
const LONGEST_POLL_INTERVAL_MS = 1000;
/** Longest time that an answer waits for the write of its result; the answer is true without the write. */
const RESULT_WAIT_MS = 1000;
/** Operations that may wait for the store; bounds the memory in an outage. */
const MAXIMUM_PENDING_OPERATIONS = 4096;
const FLUSH_POLL_MS = 20;
const REQUEST_ID_DIGITS = 16;

export interface CallLedgerOptions {
    readonly self: incarnations.Incarnation;
    readonly store: objectApi.ObjectStore;
    readonly time: clock.Clock;
    readonly journal: event.Journal;
    readonly liveness: membership.LivenessProbe;
    readonly service: resolvers.ServiceLookup;
}

/** The end of a call and the moment from which the store says the same. */
interface Finished {
    readonly outcome: outcomes.Outcome<calls.Answer>;
    readonly recorded: Promise<unknown>;
}

interface Running {
    readonly bodyHash: string;
    readonly outcome: Promise<outcomes.Outcome<calls.Answer>>;
    finished: outcomes.Outcome<calls.Answer> | undefined;
}

export class CallLedger implements controllers.Controller {
    readonly name = "idempotency";
    private readonly committer: commits.GroupCommitter;
    private readonly running = new Map<string, Running>();
    private readonly resolver: resolvers.ClaimResolver;

    constructor(private readonly options: CallLedgerOptions) {
        this.committer = new commits.GroupCommitter(options);
        this.resolver = new resolvers.ClaimResolver(options, this.committer);
    }

    /**
     * Runs the call unless one with its key has run or may have run, and replays the response of an earlier run.
     *
     * Fails with `idempotency-key-reused`, `call-not-run` (no call with the key ran, and no attempt of the request up
     * to this one will), `earlier-call-not-run` (no call with the key ran), `call-not-claimed` (this attempt did not run
     * and will not), `idempotency-group-full`, `idempotency-group-unreadable`, `outcome-unknown`,
     * `response-not-stored` or `response-too-large`.
     */
    async run(call: calls.Call, execute: calls.Execute): Promise<outcomes.Outcome<calls.Answer>> {
        const id = records.recordId(call.customer, call.route.name, call.key);
        const existing = this.running.get(id);
        if (existing !== undefined) {
            return this.join(call, existing, execute);
        }
        if (this.committer.pending >= MAXIMUM_PENDING_OPERATIONS) {
            return outcomes.fail("call-not-claimed", "too many writes wait for the object API");
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
    async lookup(call: calls.LookupCall): Promise<outcomes.Outcome<calls.LookupResult>> {
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
        return outcomes.succeed(lookupResult(await this.resolver.resolve(call, id, record)));
    }

    /** Settles the open calls that this process has seen. */
    async step(_now: number): Promise<void> {
        await this.resolver.settleDue();
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
    private async join(
        call: calls.Call,
        running: Running,
        execute: calls.Execute,
    ): Promise<outcomes.Outcome<calls.Answer>> {
        const outcome = await deadlines.before(this.options.time, running.outcome, call.deadline, call.signal);
        if (outcome === undefined) {
            return unknownOutcome("another call with the key is running", resolvers.POLL_INTERVAL_MS);
        }
        if (running.bodyHash === call.bodyHash) {
            return joined(outcome);
        }
        // The running call may itself be the one with the wrong body; then the record decides about this one.
        return !outcome.ok && outcome.failure.kind === "idempotency-key-reused"
            ? this.run(call, execute)
            : outcomes.fail("idempotency-key-reused", call.route.name);
    }

    private async perform(call: calls.Call, id: string, execute: calls.Execute): Promise<Finished> {
        const { time } = this.options;
        const preparedAt = time.now();
        const claim: types.Claim = {
            id: time.identifier(),
            incarnation: this.options.self,
            requestId: recordedRequestId(call),
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
            return { outcome: outcomes.fail("call-not-claimed", call.route.name), recorded };
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
                return ended(outcomes.fail("idempotency-key-reused", call.route.name));
            case "full":
                return ended(outcomes.fail("idempotency-group-full", records.groupName(id)));
            case "superseded":
                return ended(outcomes.fail("call-not-run", "a later attempt of the request was answered"));
        }
    }

    private async runClaimed(
        call: calls.Call,
        id: string,
        claim: types.Claim,
        execute: calls.Execute,
    ): Promise<Finished> {
        const { time } = this.options;
        // Settlement waits out the deadline of the claim, so before it the claim certainly stands.
        const mayStart = () => !this.hasEnded(call);
        if (!mayStart()) {
            return this.notRun(call, id, claim, "it was cancelled or its deadline passed before it started");
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

    /** After the deadline another agent may have settled the claim, so that the record alone can prove anything. */
    private notRun(call: calls.Call, id: string, claim: types.Claim, detail: string): Finished {
        const stands = this.options.time.now() < call.deadline;
        const outcome = outcomes.fail(stands ? "call-not-run" : "call-not-claimed", detail);
        return { outcome, recorded: this.release(call, id, claim) };
    }

    private async ran(
        call: calls.Call,
        id: string,
        claim: types.Claim,
        response: types.ServiceResponse,
        answer: calls.Answer | undefined,
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
            ? outcomes.fail("response-too-large", call.route.name)
            : outcomes.succeed(answer);
        return { outcome, recorded };
    }

    /** The service may have run the call and may still run it. */
    private async lost(call: calls.Call, id: string, claim: types.Claim, detail: string): Promise<Finished> {
        const { journal } = this.options;
        journal.emit("call-outcome-lost", { record: id, reason: detail });
        if (call.route.lookupPath !== "") {
            const answer = await this.resolver.askService(call, id);
            if (answer.kind === "ran") {
                return this.ran(call, id, claim, answer.response, { response: answer.response, replayed: false });
            }
        }
        const recorded = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.markUnknown(group, id, claim, wallTime),
        ).result.then(result => {
            if (result.ok && result.value.record !== undefined) {
                this.resolver.observe(call, id, result.value.record);
            }
        });
        const retryAfterMs = call.route.lookupPath === "" ? undefined : call.route.settleAfterMs;
        return { outcome: unknownOutcome(detail, retryAfterMs), recorded };
    }

    /** Follows a record of another claim. A call that waited never runs: its caller may have been told `not-run`. */
    private async follow(
        call: calls.Call,
        id: string,
        first: types.CallRecord,
        execute: calls.Execute,
    ): Promise<Finished> {
        const { time } = this.options;
        let record = first;
        let pollMs = resolvers.POLL_INTERVAL_MS;
        while (true) {
            const resolution = await this.resolver.resolve(call, id, record);
            if (resolution.kind === "done") {
                return ended(resolution.answer);
            }
            if (resolution.kind === "not-run") {
                return this.mayRunAfter(record, call)
                    ? this.perform(call, id, execute)
                    : ended(outcomes.fail("earlier-call-not-run", call.route.name));
            }
            if (resolution.kind === "open") {
                return ended(unknownOutcome("the earlier call with the key is not settled", resolution.retryAfterMs));
            }
            if (this.hasEnded(call)) {
                return ended(unknownOutcome("another call with the key is running", resolvers.POLL_INTERVAL_MS));
            }
            await time.sleep(Math.min(pollMs, call.deadline - time.now()), call.signal);
            pollMs = Math.min(pollMs * 2, LONGEST_POLL_INTERVAL_MS);
            const group = await this.committer.read(records.groupName(id));
            record = group.ok ? group.value.records.get(id) ?? record : record;
        }
    }

    /** The record was not run; only a later attempt of the same request may run the call in its place. */
    private mayRunAfter(record: types.CallRecord, call: calls.Call): boolean {
        const sameRequest = record.claim.requestId === recordedRequestId(call);
        return sameRequest && record.claim.attempt < call.attempt && !this.hasEnded(call);
    }

    /** The deadline of the call has passed or its caller has cancelled it. */
    private hasEnded(call: calls.Call): boolean {
        return this.options.time.now() >= call.deadline || call.signal?.aborted === true;
    }

    private release(call: calls.Call, id: string, claim: types.Claim): Promise<unknown> {
        return this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.release(group, id, claim, call.bodyHash, wallTime),
        ).result;
    }
}

/** Request identifiers can come from callers; a hash bounds the size of the record. */
function recordedRequestId(call: calls.Call): string {
    return hashing.sha256(call.requestId).slice(0, REQUEST_ID_DIGITS);
}

function ended(outcome: outcomes.Outcome<calls.Answer>): Finished {
    return { outcome, recorded: Promise.resolve() };
}

/** An error that the client of the service did not foresee says nothing about the call. */
function unexpectedEnd(error: unknown): httpCalls.HttpResult {
    return { kind: "lost", detail: String(error) };
}

function unknownOutcome(detail: string, retryAfterMs: number | undefined): outcomes.FailedOutcome {
    return outcomes.fail("outcome-unknown", detail, retryAfterMs);
}

function replay(outcome: outcomes.Outcome<calls.Answer>): outcomes.Outcome<calls.Answer> {
    return outcome.ok ? outcomes.succeed({ ...outcome.value, replayed: true }) : outcome;
}

/** The record of a call that was not run excludes late attempts of its own request only. */
function joined(outcome: outcomes.Outcome<calls.Answer>): outcomes.Outcome<calls.Answer> {
    return !outcome.ok && outcome.failure.kind === "call-not-run"
        ? outcomes.fail("earlier-call-not-run", outcome.failure.detail)
        : replay(outcome);
}

function lookupResult(resolution: resolvers.Resolution): calls.LookupResult {
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
