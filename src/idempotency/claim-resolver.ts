/**
 * Determines the outcome of calls that another claim covers, and settles them when the claim holder cannot.
 *
 * A call counts as not run only after the store has confirmed that state, because other agents act on the record. The
 * claim of a live holder is never settled here: the holder records the outcome itself.
 */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import type * as calls from "./call.js";
import * as deadlines from "./deadline.js";
import type * as commits from "./group-commit.js";
import * as observations from "./observation-table.js";
import * as records from "./record-group.js";
import * as settlement from "./settlement.js";
import type * as types from "./types.js";

/** Initial interval for polling a record that is not settled. */
export const INITIAL_POLL_INTERVAL_MS = 250;
/** Interval between checks of an observed claim whose holder is alive and will record the outcome itself. */
const LIVE_CHECK_INTERVAL_MS = 5000;
const LOOKUP_TIMEOUT_MS = 2000;

/** Asks the service of a route whether it ran a call. */
export interface ServiceLookup {
    lookup(
        route: manifest.Route,
        serviceKey: string,
        requestId: string,
        timeoutMs: number,
    ): Promise<settlement.ServiceLookupResult>;
}

export interface ClaimResolverOptions {
    readonly self: incarnations.Incarnation;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly liveness: membership.LivenessProbe;
    readonly service: ServiceLookup;
}

/** What is known about a recorded call. */
export type Resolution =
    | { readonly kind: "running"; }
    | { readonly kind: "done"; readonly outcome: outcomes.Outcome<calls.CallResult>; }
    | { readonly kind: "not-run"; }
    /** `retryAfterMs` is missing when the outcome cannot be determined. */
    | { readonly kind: "unsettled"; readonly retryAfterMs?: number; };

export class ClaimResolver {
    private readonly observed = new observations.ObservationTable();

    constructor(
        private readonly options: ClaimResolverOptions,
        private readonly committer: commits.GroupCommitter,
    ) {}

    /** Determines the outcome of a recorded call, and records it. */
    async resolve(call: calls.LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        if (record.state === "done") {
            return { kind: "done", outcome: storedResult(record.response) };
        }
        if (record.state === "not-run") {
            return { kind: "not-run" };
        }
        const observation = this.observe(call, id, record);
        if (record.state === "claimed" && observation.deadSince === undefined) {
            if (await this.liveness(record.claim.incarnation) !== "dead") {
                this.observed.postpone(record.claim.id, this.options.clock.now() + LIVE_CHECK_INTERVAL_MS);
                return { kind: "running" };
            }
            this.observed.markDead(record.claim.id, this.options.clock.now());
        }
        return this.trySettle(call, id, record);
    }

    private async trySettle(call: calls.LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        const { clock } = this.options;
        if (call.route.lookupPath === "") {
            this.observed.remove(record.claim.id);
            return { kind: "unsettled" };
        }
        const observation = this.observe(call, id, record);
        const settleableFrom = settlement.earliestSettlement(record, observation, call.route.settleAfterMs);
        const askedAt = clock.now();
        const conclusion = settlement.conclude(await this.queryService(call, id), askedAt, settleableFrom);
        if (conclusion.kind === "done") {
            const response = records.storedResponse(conclusion.response);
            void this.settle(id, record, { state: "done", response });
            return { kind: "done", outcome: outcomes.succeed({ response: conclusion.response, replayed: true }) };
        }
        if (conclusion.kind === "not-run") {
            return this.settleNotRun(call, id, record);
        }
        const retryAfterMs = Math.max(INITIAL_POLL_INTERVAL_MS, Math.ceil((settleableFrom ?? askedAt) - clock.now()));
        this.observed.postpone(record.claim.id, clock.now() + retryAfterMs);
        return { kind: "unsettled", retryAfterMs };
    }

    /** Other agents act on the record, so `not-run` is returned only after the store has confirmed it. */
    private async settleNotRun(call: calls.LookupCall, id: string, record: types.CallRecord): Promise<Resolution> {
        const { clock } = this.options;
        const result = await deadlines.withDeadline(
            clock,
            this.settle(id, record, { state: "not-run" }),
            call.deadline,
        );
        if (!result?.ok) {
            return { kind: "unsettled", retryAfterMs: INITIAL_POLL_INTERVAL_MS };
        }
        const current = result.value.record;
        if (result.value.applied) {
            return { kind: "not-run" };
        }
        return current?.state === "done"
            ? { kind: "done", outcome: storedResult(current.response) }
            : { kind: "unsettled", retryAfterMs: INITIAL_POLL_INTERVAL_MS };
    }

    private async settle(
        id: string,
        record: types.CallRecord,
        settled: records.SettledState,
    ): Promise<outcomes.Outcome<records.UpdateResult>> {
        const result = await this.committer.submit(
            records.groupName(id),
            (group, wallTime) => records.settle(group, id, record.claim.id, settled, wallTime),
        ).result;
        if (result.ok) {
            this.observed.remove(record.claim.id);
            this.options.journal.emit("call-settled", { record: id, state: result.value.record?.state });
        }
        return result;
    }

    /** Settles the unsettled calls that this process has observed. */
    async settleDue(): Promise<void> {
        for (const due of this.observed.due(this.options.clock.now())) {
            const group = await this.committer.read(records.groupName(due.id));
            if (!group.ok) {
                return;
            }
            const record = group.value.records.get(due.id);
            if (record?.claim.id !== due.claimId || !isUnsettled(record)) {
                this.observed.remove(due.claimId);
                continue;
            }
            const deadline = this.options.clock.now() + LOOKUP_TIMEOUT_MS;
            await this.resolve({ ...due.call, requestId: record.claim.requestId, deadline }, due.id, record);
        }
    }

    /** Asks the service whether it ran the call; limited by the deadline of `call`. */
    async queryService(call: calls.LookupCall, id: string): Promise<settlement.ServiceLookupResult> {
        const remainingMs = call.deadline - this.options.clock.now();
        if (remainingMs <= 0) {
            return { kind: "no-answer", detail: "the deadline has passed" };
        }
        const timeoutMs = Math.min(LOOKUP_TIMEOUT_MS, remainingMs);
        return this.options.service.lookup(call.route, id, call.requestId, timeoutMs);
    }

    /** Another incarnation with the address of this process is dead, because two processes cannot share an address. */
    private async liveness(incarnation: incarnations.Incarnation): Promise<membership.Liveness> {
        if (incarnations.sameIncarnation(incarnation, this.options.self)) {
            return "alive";
        }
        return incarnation.address === this.options.self.address ? "dead" : this.options.liveness.probe(incarnation);
    }

    /** Tracks an unsettled record, so that `settleDue` settles it when no repeat of the call does. */
    observe(call: calls.LookupCall, id: string, record: types.CallRecord): settlement.Observation {
        const { customer, route, key } = call;
        return this.observed.observe(id, record, { customer, route, key }, this.options.clock.now());
    }
}

function isUnsettled(record: types.CallRecord): boolean {
    return record.state === "claimed" || record.state === "unknown";
}

function storedResult(stored: types.StoredResponse): outcomes.Outcome<calls.CallResult> {
    if (stored.kind === "digest") {
        return outcomes.fail(
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
