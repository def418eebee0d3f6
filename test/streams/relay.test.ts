/** Guards against lost, duplicated or reordered tokens, and against truncated responses that appear complete. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as catalogue from "../../src/catalogue/failures.js";
import * as failures from "../../src/core/failure.js";
import * as journal from "../../src/logging/journal.js";
import * as relays from "../../src/streams/relay.js";
import type * as types from "../../src/streams/types.js";
import * as clocks from "../support/virtual-clock.js";

const SEED = 22;
const TOKEN_TIMEOUT_MS = 100;
const FIRST_TOKEN_TIMEOUT_MS = 500;
const DEADLINE = 1_000_000;
const MAXIMUM_RETRIES = 5;

/** One event after a delay, or the end of the connection. */
type Action =
    | { readonly delay: number; readonly event: types.StreamEvent; }
    | { readonly delay: number; readonly cut: "end" | "throw" | "hang"; };

type Fault =
    | { readonly kind: "none" | "refused" | "short-count" | "long-count" | "missing-token" | "extra-redirect"; }
    | { readonly kind: "end" | "throw" | "hang" | "failed"; readonly after: number; }
    | { readonly kind: "lost"; readonly at: number; };

interface Script {
    readonly fault: Fault;
    readonly delay: number;
    /** Delay of the duplicated and foreign events in milliseconds. */
    readonly noiseDelay: number;
    /** Positions at which an event is duplicated, swapped with its successor, or preceded by a foreign event. */
    readonly duplicated: readonly number[];
    readonly swapped: readonly number[];
    readonly foreign: readonly number[];
}

const FAULT_FREE: Script = {
    fault: { kind: "none" },
    delay: 1,
    noiseDelay: 0,
    duplicated: [],
    swapped: [],
    foreign: [],
};

function tokenText(index: number): string {
    return `w${index} `;
}

function correctBodies(resume: number, length: number): types.EventBody[] {
    const tokens = Array.from({ length: length - resume }, (_, offset): types.EventBody => {
        return { type: "token", index: resume + offset, text: tokenText(resume + offset) };
    });
    const started = { type: "started", promptTokens: 7, cachedTokens: 0, engineBoot: "b" } as const;
    return [started, ...tokens, { type: "ended", count: length, reason: "stop" }];
}

function faultyBodies(fault: Fault, resume: number, length: number): types.EventBody[] {
    const correct = correctBodies(resume, length);
    const withEndCount = (
        count: number,
    ): types.EventBody[] => [...correct.slice(0, -1), { type: "ended", count, reason: "stop" }];
    switch (fault.kind) {
        case "refused":
            return [{ type: "failed", failure: { kind: "engine-refused", detail: "" } }];
        case "failed":
            return [
                ...correct.slice(0, fault.after),
                { type: "failed", failure: { kind: "engine-connection-lost", detail: "" } },
            ];
        case "short-count":
            return withEndCount(length - 1);
        case "long-count":
            return withEndCount(length + 1);
        case "missing-token":
            return correct.filter((_, position) => position !== 1 || correct.length === 2);
        case "extra-redirect":
            return [correct[0], { type: "redirected", betterAddress: "elsewhere" }];
        default:
            return correct;
    }
}

function actions(script: Script, plan: types.AttemptPlan, length: number): Action[] {
    const { fault, delay } = script;
    const timeline: Action[] = faultyBodies(fault, plan.tokens.length, length)
        .map((body, sequence) => ({
            delay,
            event: { requestId: "r", attempt: plan.attempt, sequence, body },
        }));
    const swapWithNext = (at: number) => {
        if (at + 1 < timeline.length) {
            [timeline[at], timeline[at + 1]] = [timeline[at + 1], timeline[at]];
        }
    };
    if (fault.kind === "lost") {
        timeline.splice(fault.at % timeline.length, 1);
    }
    script.swapped.forEach(swapWithNext);
    script.duplicated.filter(at => at < timeline.length).forEach(at =>
        timeline.splice(at, 0, { ...timeline[at], delay: script.noiseDelay })
    );
    script.foreign.filter(at => at < timeline.length).forEach((at, index) => {
        const body: types.EventBody = { type: "token", index: plan.tokens.length + at, text: "foreign " };
        const identity = index % 2 === 0
            ? { requestId: "other", attempt: plan.attempt }
            : { requestId: "r", attempt: plan.attempt - 1 };
        const ended: types.EventBody = { type: "ended", count: plan.tokens.length + at, reason: "stop" };
        timeline.splice(at, 0, {
            delay: script.noiseDelay,
            event: { ...identity, sequence: at, body: index < 2 ? body : ended },
        });
    });
    if (fault.kind === "end" || fault.kind === "throw" || fault.kind === "hang") {
        return [...timeline.slice(0, fault.after), { delay, cut: fault.kind }];
    }
    return [...timeline, { delay, cut: "end" }];
}

interface Observation {
    readonly result: types.Result;
    readonly delivered: readonly string[];
    readonly attempts: number;
    readonly retriesTaken: number;
    readonly ran: boolean;
    readonly excluded: readonly string[];
    readonly openSignals: readonly AbortSignal[];
}

interface Schedule {
    readonly length: number;
    readonly scripts: readonly Script[];
    readonly abortAt?: number;
    readonly deadline?: number;
    readonly budget?: number;
}

const ABORT_FAILURE: failures.Failure = { kind: "store-conflict", detail: "abort reason" };

async function runSchedule(schedule: Schedule): Promise<Observation> {
    const clock = new clocks.VirtualClock(1);
    const controller = new AbortController();
    const delivered: string[] = [];
    const openSignals: AbortSignal[] = [];
    const observed = { attempts: 0, retriesTaken: 0, ran: false, excluded: [] as string[], finished: false };
    const open: types.OpenAttempt = async (plan, signal) => {
        observed.attempts++;
        observed.excluded = [...plan.excluded];
        openSignals.push(signal);
        const script = schedule.scripts[plan.attempt - 1] ?? FAULT_FREE;
        async function* events(): AsyncGenerator<types.StreamEvent> {
            for (const action of actions(script, plan, schedule.length)) {
                await clock.sleep(action.delay);
                if ("event" in action) {
                    observed.ran ||= action.event.requestId === "r" && action.event.body.type === "started";
                    yield action.event;
                    continue;
                }
                observed.ran = true;
                if (action.cut === "throw") {
                    throw new failures.FailureError({ kind: "peer-connection-lost", detail: "" });
                }
                if (action.cut === "hang") {
                    await new Promise(() => undefined);
                }
            }
        }
        return { ok: true, value: { server: `s${plan.attempt}`, events: events() } };
    };
    const relay = new relays.StreamRelay(open, {
        token: token => {
            assert.equal(observed.finished, false, "token after the result");
            delivered.push(token.text);
        },
    }, {
        requestId: "r",
        clock,
        journal: journal.silentJournal,
        deadline: schedule.deadline ?? DEADLINE,
        firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT_MS,
        tokenTimeoutMs: TOKEN_TIMEOUT_MS,
        signal: controller.signal,
        limits: {
            maximumRetries: MAXIMUM_RETRIES,
            tryRetry: () => observed.retriesTaken < (schedule.budget ?? 100) && ++observed.retriesTaken > 0,
        },
    });
    if (schedule.abortAt !== undefined) {
        void clock.sleep(schedule.abortAt).then(() => controller.abort(new failures.FailureError(ABORT_FAILURE)));
    }
    const result = await clock.runUntilSettled(relay.run());
    observed.finished = true;
    return { result, delivered, openSignals, ...observed };
}

function expectedTexts(length: number): readonly string[] {
    return Array.from({ length }, (_, index) => tokenText(index));
}

function assertInvariants(schedule: Schedule, observed: Observation): void {
    assert.deepEqual(observed.delivered, expectedTexts(schedule.length).slice(0, observed.delivered.length));
    if (observed.result.ok) {
        assert.equal(observed.delivered.length, schedule.length);
        assert.equal(observed.result.value.count, schedule.length);
        return;
    }
    const { failure, execution, delivered } = observed.result.failure;
    assert.equal(delivered, observed.delivered.length);
    if (execution === "not-run") {
        assert.equal(observed.ran, false, `${failure.kind} reported as not run`);
    }
    if (catalogue.failures[failure.kind].execution === "not-run" && failure.kind !== ABORT_FAILURE.kind) {
        assert.equal(observed.ran, false, `${failure.kind} means not run`);
    }
}

const position = fastCheck.integer({ min: 0, max: 12 });
const positions = fastCheck.uniqueArray(position, { maxLength: 4 });
const fault: fastCheck.Arbitrary<Fault> = fastCheck.oneof(
    fastCheck.constantFrom("refused", "short-count", "long-count", "missing-token", "extra-redirect")
        .map(kind => ({ kind }) as Fault),
    fastCheck.record({ kind: fastCheck.constantFrom("end", "throw", "hang", "failed"), after: position }),
    fastCheck.record({ kind: fastCheck.constant("lost"), at: position }),
);
const noise = { noiseDelay: fastCheck.constant(0), duplicated: positions, swapped: positions, foreign: positions };
// Swaps can delay an event by several delays, whose sum stays below the token timeout.
const delay = fastCheck.integer({ min: 0, max: 15 });
const faultyScript = fastCheck.record({ fault, delay, ...noise });
const correctScript = fastCheck.record({ fault: fastCheck.constant<Fault>({ kind: "none" }), delay, ...noise });
const length = fastCheck.integer({ min: 0, max: 10 });
const scripts = fastCheck.tuple(fastCheck.array(faultyScript, { maxLength: MAXIMUM_RETRIES }), correctScript)
    .map(([first, last]) => [...first, last]);
const time = fastCheck.integer({ min: 0, max: 1500 });

testing.test("relay: if the last server is correct, any faults before it yield the whole response in order", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.record({ length, scripts }), async schedule => {
            const observed = await runSchedule(schedule);
            assertInvariants(schedule, observed);
            assert.ok(observed.result.ok, JSON.stringify(observed.result));
            assert.ok(observed.attempts <= schedule.scripts.length, "an attempt on a correct server was abandoned");
        }),
        { seed: SEED, numRuns: 300 },
    );
});

testing.test("relay: aborts, deadlines and small budgets deliver a prefix and no false completion", async () => {
    const schedules = fastCheck.record({
        length,
        scripts,
        abortAt: fastCheck.option(time, { nil: undefined }),
        deadline: fastCheck.option(time, { nil: undefined }),
        budget: fastCheck.option(fastCheck.integer({ min: 0, max: 2 }), { nil: undefined }),
    });
    await fastCheck.assert(
        fastCheck.asyncProperty(schedules, async schedule => {
            const observed = await runSchedule(schedule);
            assertInvariants(schedule, observed);
            assert.ok(observed.retriesTaken <= (schedule.budget ?? 100));
            assert.ok(observed.openSignals.every(signal => signal.aborted), "an attempt was left open");
        }),
        { seed: SEED + 1, numRuns: 300 },
    );
});

testing.test("relay: a stream without an end event fails even if all tokens arrived", async () => {
    const withoutEnd = { ...FAULT_FREE, fault: { kind: "end", after: 4 } as const };
    const observed = await runSchedule({ length: 3, scripts: [withoutEnd], budget: 0 });
    assert.deepEqual(observed.delivered, expectedTexts(3));
    assert.equal(!observed.result.ok && observed.result.failure.failure.kind, "stream-incomplete");
});

testing.test("relay: a slow stream is kept; a stalled one and one that only repeats events are abandoned", async () => {
    const slow = await runSchedule({ length: 5, scripts: [{ ...FAULT_FREE, delay: TOKEN_TIMEOUT_MS - 1 }] });
    assert.equal(slow.attempts, 1);
    const stalled = await runSchedule({ length: 5, scripts: [{ ...FAULT_FREE, delay: TOKEN_TIMEOUT_MS + 1 }] });
    assert.equal(stalled.attempts, 2);
    assert.deepEqual(stalled.excluded, ["s1"]);
    const repeating = { ...FAULT_FREE, noiseDelay: TOKEN_TIMEOUT_MS * 0.6, duplicated: [2, 2, 2, 2] };
    assert.equal((await runSchedule({ length: 5, scripts: [repeating] })).attempts, 2);
});

testing.test("relay: an abort with a failure ends the response with that failure before the next token", async () => {
    const observed = await runSchedule({ length: 8, scripts: [{ ...FAULT_FREE, delay: 10 }], abortAt: 45 });
    assert.equal(observed.delivered.length, 3);
    assert.deepEqual(!observed.result.ok && observed.result.failure, {
        failure: ABORT_FAILURE,
        execution: "unknown",
        delivered: 3,
        attempts: 1,
    });
});

testing.test("relay: refusals by all servers are reported as not run, unless a server was lost before", async () => {
    const refused = { ...FAULT_FREE, fault: { kind: "refused" } as const };
    const lostConnection = { ...FAULT_FREE, fault: { kind: "throw", after: 0 } as const };
    const neverRan = await runSchedule({ length: 3, scripts: [refused, refused], budget: 1 });
    assert.equal(!neverRan.result.ok && neverRan.result.failure.execution, "not-run");
    const mayHaveRun = await runSchedule({ length: 3, scripts: [lostConnection, refused], budget: 1 });
    assert.equal(!mayHaveRun.result.ok && mayHaveRun.result.failure.failure.kind, "stream-interrupted");
    assert.equal(!mayHaveRun.result.ok && mayHaveRun.result.failure.execution, "unknown");
});
