/**
 * Runs calls at most once: claims each call in the store before running it, and records the result.
 *
 * A call starts only after the store has confirmed its claim, and only before its deadline, because other agents wait
 * until then before they settle the claim. `claim-resolver` determines the outcome of calls that another claim covers.
 */
import type * as clocks from "../clock/clock.js";
import type * as controllers from "../core/controller.js";
import type * as event from "../core/event.js";
import * as hashing from "../core/hashing.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as membership from "../membership/types.js";
import type * as httpClients from "../object-api/http-client.js";
import type * as objectApi from "../object-api/types.js";
import type * as calls from "./call.js";
import * as resolvers from "./claim-resolver.js";
import * as deadlines from "./deadline.js";
import * as commits from "./group-commit.js";
import * as records from "./record-group.js";
import type * as types from "./types.js";

export type { Call, CallResult, Executor, LookupCall, LookupResult, Permit } from "./call.js";

/** Maximum interval for polling a record that a live agent has claimed; each read may transfer 900 KB. */
const MAXIMUM_POLL_INTERVAL_MS = 1000;
/** Maximum time that a response waits for its record to be written; the response is valid without the record. */
const RESULT_WRITE_WAIT_MS = 1000;
/** Maximum number of operations that wait for the store; limits memory use during a store outage. */
const MAXIMUM_PENDING_OPERATIONS = 4096;
const FLUSH_POLL_INTERVAL_MS = 20;
const REQUEST_ID_HEX_DIGITS = 16;

export interface CallLedgerOptions {
    readonly self: incarnations.Incarnation;
    readonly store: objectApi.ObjectStore;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly liveness: membership.LivenessProbe;
    readonly service: resolvers.ServiceLookup;
}

/** The outcome of a call; `recorded` resolves when the store holds it. */
interface CompletedCall {
    readonly outcome: outcomes.Outcome<calls.CallResult>;
    readonly recorded: Promise<unknown>;
}

/** A call of this process that is running or whose outcome the store does not hold yet. */
interface RunningCall {
    readonly bodyHash: string;
    readonly outcome: Promise<outcomes.Outcome<calls.CallResult>>;
    finishedOutcome: outcomes.Outcome<calls.CallResult> | undefined;
}

export class CallLedger implements controllers.Controller {
    readonly name = "idempotency";
    private readonly committer: commits.GroupCommitter;
    private readonly running = new Map<string, RunningCall>();
    private readonly resolver: resolvers.ClaimResolver;

    constructor(private readonly options: CallLedgerOptions) {
        this.committer = new commits.GroupCommitter(options);
        this.resolver = new resolvers.ClaimResolver(options, this.committer);
    }

    /**
     * Runs the call unless a call with its key has run or may have run; replays the stored response if there is one.
     *
     * Fails with `idempotency-key-reused`, `call-not-run` (no call with the key ran, and neither this attempt nor an
     * earlier one of the request will run), `earlier-call-not-run` (no call with the key ran), `call-not-claimed` (this
     * attempt did not run and will not run), `idempotency-group-full`, `idempotency-group-unreadable`,
     * `outcome-unknown`, `response-not-stored` or `response-too-large`.
     */
    async run(call: calls.Call, execute: calls.Executor): Promise<outcomes.Outcome<calls.CallResult>> {
        const id = records.recordId(call.customer, call.route.name, call.key);
        const existing = this.running.get(id);
        if (existing !== undefined) {
            return this.joinRunning(call, existing, execute);
        }
        if (this.committer.pending >= MAXIMUM_PENDING_OPERATIONS) {
            return outcomes.fail("call-not-claimed", "too many writes wait for the object API");
        }
        const finished = this.claimAndRun(call, id, execute);
        const running: RunningCall = {
            bodyHash: call.bodyHash,
            outcome: finished.then(result => result.outcome),
            finishedOutcome: undefined,
        };
        this.running.set(id, running);
        const result = await finished;
        running.finishedOutcome = result.outcome;
        // Repeats get the outcome from memory until the store holds it.
        void result.recorded.then(() => this.running.delete(id));
        return result.outcome;
    }

    /**
     * Determines the outcome of a call without running it. Fails with `idempotency-group-unreadable` or a failure of
     * the store, such as `store-unavailable`.
     */
    async lookup(call: calls.LookupCall): Promise<outcomes.Outcome<calls.LookupResult>> {
        const id = records.recordId(call.customer, call.route.name, call.key);
        const finished = this.running.get(id)?.finishedOutcome;
        if (finished?.ok) {
            return outcomes.succeed({ state: "done", outcome: asReplay(finished) });
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

    /** Settles the unsettled calls that this process has observed. */
    async step(_now: number): Promise<void> {
        await this.resolver.settleDue();
    }

    /** Waits until all pending records are written, or until the deadline (monotonic ms). For a graceful shutdown. */
    async flush(deadline: number): Promise<void> {
        while (this.committer.pending > 0 && this.options.clock.now() < deadline) {
            await this.options.clock.sleep(FLUSH_POLL_INTERVAL_MS);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.committer[Symbol.asyncDispose]();
    }

    /** Returns the outcome of a running call of this process to a repeat of that call. */
    private async joinRunning(
        call: calls.Call,
        running: RunningCall,
        execute: calls.Executor,
    ): Promise<outcomes.Outcome<calls.CallResult>> {
        const outcome = await deadlines.withDeadline(this.options.clock, running.outcome, call.deadline, call.signal);
        if (outcome === undefined) {
            return unknownOutcome("another call with the key is running", resolvers.INITIAL_POLL_INTERVAL_MS);
        }
        if (running.bodyHash === call.bodyHash) {
            return joinedOutcome(outcome);
        }
        // If the running call itself reused the key with another body, the record decides whether this call may run.
        return !outcome.ok && outcome.failure.kind === "idempotency-key-reused"
            ? this.run(call, execute)
            : outcomes.fail("idempotency-key-reused", call.route.name);
    }

    private async claimAndRun(call: calls.Call, id: string, execute: calls.Executor): Promise<CompletedCall> {
        const { clock } = this.options;
        const preparedAt = clock.now();
        const claim: types.Claim = {
            id: clock.identifier(),
            incarnation: this.options.self,
            requestId: recordedRequestId(call),
            attempt: call.attempt,
            runWithinMs: Math.max(0, call.deadline - preparedAt),
        };
        const submission = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.claim(group, id, call.bodyHash, claim, wallTime),
        );
        const result = await deadlines.withDeadline(clock, submission.result, call.deadline, call.signal);
        if (result === undefined) {
            const recorded = submission.withdraw() ? Promise.resolve() : this.release(call, id, claim);
            return { outcome: outcomes.fail("call-not-claimed", call.route.name), recorded };
        }
        if (!result.ok) {
            return completed(result);
        }
        switch (result.value.kind) {
            case "claimed":
                return this.runClaimed(call, id, claim, execute);
            case "existing":
                return this.followExisting(call, id, result.value.record, execute);
            case "body-differs":
                return completed(outcomes.fail("idempotency-key-reused", call.route.name));
            case "full":
                return completed(outcomes.fail("idempotency-group-full", records.groupName(id)));
            case "superseded":
                return completed(
                    outcomes.fail("call-not-run", "this or a later attempt was already reported as not run"),
                );
        }
    }

    private async runClaimed(
        call: calls.Call,
        id: string,
        claim: types.Claim,
        execute: calls.Executor,
    ): Promise<CompletedCall> {
        const { clock } = this.options;
        // Other agents settle a claim only after its deadline, so the claim is valid until then.
        const mayStart = () => !this.hasEnded(call);
        if (!mayStart()) {
            return this.refuseNotRun(call, id, claim, "it was cancelled or its deadline passed before it started");
        }
        const permit = { serviceKey: id, timeoutMs: call.deadline - clock.now(), mayStart };
        const result = await execute(permit).catch(unexpectedError);
        switch (result.kind) {
            case "not-sent":
                return this.refuseNotRun(call, id, claim, `the service was not reached: ${result.detail}`);
            case "answered":
                return this.recordResponse(call, id, claim, result.response, {
                    response: result.response,
                    replayed: false,
                });
            case "oversized":
                return this.recordResponse(call, id, claim, { ...result.response, body: Buffer.alloc(0) }, undefined);
            case "lost":
                return this.handleLostResponse(call, id, claim, result.detail);
        }
    }

    /** After the deadline, another agent may have settled the claim, so this process cannot prove `call-not-run`. */
    private refuseNotRun(call: calls.Call, id: string, claim: types.Claim, detail: string): CompletedCall {
        const isClaimValid = this.options.clock.now() < call.deadline;
        const outcome = outcomes.fail(isClaimValid ? "call-not-run" : "call-not-claimed", detail);
        return { outcome, recorded: this.release(call, id, claim) };
    }

    private async recordResponse(
        call: calls.Call,
        id: string,
        claim: types.Claim,
        response: types.ServiceResponse,
        callResult: calls.CallResult | undefined,
    ): Promise<CompletedCall> {
        const { clock, journal } = this.options;
        const stored = callResult === undefined ? records.digestOnly(response) : records.storedResponse(response);
        const recorded = this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.complete(group, id, claim, call.bodyHash, stored, wallTime),
        ).result.then(result => {
            if (result.ok && !result.value.applied) {
                journal.emit("call-ran-after-settlement", { record: id });
            }
        });
        await deadlines.withDeadline(clock, recorded, Math.min(call.deadline, clock.now() + RESULT_WRITE_WAIT_MS));
        const outcome = callResult === undefined
            ? outcomes.fail("response-too-large", call.route.name)
            : outcomes.succeed(callResult);
        return { outcome, recorded };
    }

    /** Handles a call that was sent but got no response: the service may have run it and may still run it. */
    private async handleLostResponse(
        call: calls.Call,
        id: string,
        claim: types.Claim,
        detail: string,
    ): Promise<CompletedCall> {
        const { journal } = this.options;
        journal.emit("call-outcome-lost", { record: id, reason: detail });
        if (call.route.lookupPath !== "") {
            const lookup = await this.resolver.queryService(call, id);
            if (lookup.kind === "ran") {
                return this.recordResponse(call, id, claim, lookup.response, {
                    response: lookup.response,
                    replayed: false,
                });
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

    /**
     * Polls a record of another claim until it is settled or the call ends. The call itself runs afterwards only as a
     * later attempt of the recorded request; otherwise its caller may already have received a `not-run` failure.
     */
    private async followExisting(
        call: calls.Call,
        id: string,
        first: types.CallRecord,
        execute: calls.Executor,
    ): Promise<CompletedCall> {
        const { clock } = this.options;
        let record = first;
        let pollMs = resolvers.INITIAL_POLL_INTERVAL_MS;
        while (true) {
            const resolution = await this.resolver.resolve(call, id, record);
            if (resolution.kind === "done") {
                return completed(resolution.outcome);
            }
            if (resolution.kind === "not-run") {
                return this.mayRunAfter(record, call)
                    ? this.claimAndRun(call, id, execute)
                    : completed(outcomes.fail("earlier-call-not-run", call.route.name));
            }
            if (resolution.kind === "unsettled") {
                return completed(
                    unknownOutcome("the earlier call with the key is not settled", resolution.retryAfterMs),
                );
            }
            if (this.hasEnded(call)) {
                return completed(
                    unknownOutcome("another call with the key is running", resolvers.INITIAL_POLL_INTERVAL_MS),
                );
            }
            await clock.sleep(Math.min(pollMs, call.deadline - clock.now()), call.signal);
            pollMs = Math.min(pollMs * 2, MAXIMUM_POLL_INTERVAL_MS);
            const group = await this.committer.read(records.groupName(id));
            record = group.ok ? group.value.records.get(id) ?? record : record;
        }
    }

    /** Whether the call may run after a recorded call was not run: only as a later attempt of the same request. */
    private mayRunAfter(record: types.CallRecord, call: calls.Call): boolean {
        const sameRequest = record.claim.requestId === recordedRequestId(call);
        return sameRequest && record.claim.attempt < call.attempt && !this.hasEnded(call);
    }

    /** Whether the deadline of the call has passed or its caller has cancelled it. */
    private hasEnded(call: calls.Call): boolean {
        return this.options.clock.now() >= call.deadline || call.signal?.aborted === true;
    }

    private release(call: calls.Call, id: string, claim: types.Claim): Promise<unknown> {
        return this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.release(group, id, claim, call.bodyHash, wallTime),
        ).result;
    }
}

/** Callers can choose request identifiers of any length; a hash limits the size of the record. */
function recordedRequestId(call: calls.Call): string {
    return hashing.sha256(call.requestId).slice(0, REQUEST_ID_HEX_DIGITS);
}

function completed(outcome: outcomes.Outcome<calls.CallResult>): CompletedCall {
    return { outcome, recorded: Promise.resolve() };
}

/** After an unexpected error of the service client, it is unknown whether the call ran. */
function unexpectedError(error: unknown): httpClients.HttpResult {
    return { kind: "lost", detail: String(error) };
}

function unknownOutcome(detail: string, retryAfterMs: number | undefined): outcomes.FailedOutcome {
    return outcomes.fail("outcome-unknown", detail, retryAfterMs);
}

function asReplay(outcome: outcomes.Outcome<calls.CallResult>): outcomes.Outcome<calls.CallResult> {
    return outcome.ok ? outcomes.succeed({ ...outcome.value, replayed: true }) : outcome;
}

/** Downgrades `call-not-run`, because the record prevents late attempts of its own request only, not of a repeat. */
function joinedOutcome(outcome: outcomes.Outcome<calls.CallResult>): outcomes.Outcome<calls.CallResult> {
    return !outcome.ok && outcome.failure.kind === "call-not-run"
        ? outcomes.fail("earlier-call-not-run", outcome.failure.detail)
        : asReplay(outcome);
}

function lookupResult(resolution: resolvers.Resolution): calls.LookupResult {
    switch (resolution.kind) {
        case "running":
            return { state: "claimed" };
        case "done":
            return { state: "done", outcome: resolution.outcome };
        case "not-run":
            return { state: "not-run" };
        case "unsettled":
            return resolution.retryAfterMs === undefined
                ? { state: "unknown" }
                : { state: "unknown", retryAfterMs: resolution.retryAfterMs };
    }
}
