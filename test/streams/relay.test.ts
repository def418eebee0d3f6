/** Guards against tokens that are lost, doubled or reordered, and against cut-off answers that look complete. */
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
const TOKEN_TIMEOUT = 100;
const FIRST_TOKEN_TIMEOUT = 500;
const DEADLINE = 1_000_000;
const MAXIMUM_RETRIES = 5;

/** One event after a delay, or the end of the connection. */
type Action =
    | { readonly delay: number; readonly event: types.StreamEvent; }
    | { readonly delay: number; readonly cut: "end" | "throw" | "hang"; };

type Fault =
    | { readonly kind: "none" | "refused" | "short-count" | "long-count" | "shifted" | "extra-redirect"; }
    | { readonly kind: "end" | "throw" | "hang" | "failed"; readonly after: number; }
    | { readonly kind: "lost"; readonly at: number; };

interface Script {
    readonly fault: Fault;
    readonly delay: number;
    /** Delay of the doubled and foreign events. */
    readonly noiseDelay: number;
    /** Positions at which an event is doubled, swapped with its successor, or preceded by a foreign one. */
    readonly doubled: readonly number[];
    readonly swapped: readonly number[];
    readonly foreign: readonly number[];
}

const CLEAN: Script = { fault: { kind: "none" }, delay: 1, noiseDelay: 0, doubled: [], swapped: [], foreign: [] };

function word(index: number): string {
    return `w${index} `;
}

function bodies(resume: number, length: number): types.Body[] {
    const tokens = Array.from({ length: length - resume }, (_, offset): types.Body => {
        return { type: "token", index: resume + offset, text: word(resume + offset) };
    });
    const started = { type: "started", promptTokens: 7, cachedTokens: 0, engineBoot: "b" } as const;
    return [started, ...tokens, { type: "ended", count: length, reason: "stop" }];
}

function faulty(fault: Fault, resume: number, length: number): types.Body[] {
    const right = bodies(resume, length);
    const wrongEnd = (count: number): types.Body[] => [...right.slice(0, -1), { type: "ended", count, reason: "stop" }];
    switch (fault.kind) {
        case "refused":
            return [{ type: "failed", failure: { kind: "engine-refused", detail: "" } }];
        case "failed":
            return [
                ...right.slice(0, fault.after),
                { type: "failed", failure: { kind: "engine-connection-lost", detail: "" } },
            ];
        case "short-count":
            return wrongEnd(length - 1);
        case "long-count":
            return wrongEnd(length + 1);
        case "shifted":
            return right.filter((_, position) => position !== 1 || right.length === 2);
        case "extra-redirect":
            return [right[0], { type: "redirected", betterAddress: "elsewhere" }];
        default:
            return right;
    }
}

function actions(script: Script, plan: types.AttemptPlan, length: number): Action[] {
    const { fault, delay } = script;
    const list: Action[] = faulty(fault, plan.tokens.length, length)
        .map((body, sequence) => ({
            delay,
            event: { requestId: "r", attempt: plan.attempt, sequence, body },
        }));
    const swap = (at: number) => {
        if (at + 1 < list.length) {
            [list[at], list[at + 1]] = [list[at + 1], list[at]];
        }
    };
    if (fault.kind === "lost") {
        list.splice(fault.at % list.length, 1);
    }
    script.swapped.forEach(swap);
    script.doubled.filter(at => at < list.length).forEach(at =>
        list.splice(at, 0, { ...list[at], delay: script.noiseDelay })
    );
    script.foreign.filter(at => at < list.length).forEach((at, number) => {
        const body: types.Body = { type: "token", index: plan.tokens.length + at, text: "foreign " };
        const other = number % 2 === 0
            ? { requestId: "other", attempt: plan.attempt }
            : { requestId: "r", attempt: plan.attempt - 1 };
        const ended: types.Body = { type: "ended", count: plan.tokens.length + at, reason: "stop" };
        list.splice(at, 0, {
            delay: script.noiseDelay,
            event: { ...other, sequence: at, body: number < 2 ? body : ended },
        });
    });
    if (fault.kind === "end" || fault.kind === "throw" || fault.kind === "hang") {
        return [...list.slice(0, fault.after), { delay, cut: fault.kind }];
    }
    return [...list, { delay, cut: "end" }];
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

const REVOKED: failures.Failure = { kind: "store-conflict", detail: "typed reason of the abort" };

async function play(schedule: Schedule): Promise<Observation> {
    const clock = new clocks.VirtualClock(1);
    const abort = new AbortController();
    const delivered: string[] = [];
    const openSignals: AbortSignal[] = [];
    const seen = { attempts: 0, retriesTaken: 0, ran: false, excluded: [] as string[], finished: false };
    const open: types.OpenAttempt = async (plan, signal) => {
        seen.attempts++;
        seen.excluded = [...plan.excluded];
        openSignals.push(signal);
        const script = schedule.scripts[plan.attempt - 1] ?? CLEAN;
        async function* events(): AsyncGenerator<types.StreamEvent> {
            for (const action of actions(script, plan, schedule.length)) {
                await clock.sleep(action.delay);
                if ("event" in action) {
                    seen.ran ||= action.event.requestId === "r" && action.event.body.type === "started";
                    yield action.event;
                    continue;
                }
                seen.ran = true;
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
            assert.equal(seen.finished, false, "token after the result");
            delivered.push(token.text);
        },
    }, {
        requestId: "r",
        clock,
        journal: journal.silentJournal,
        deadline: schedule.deadline ?? DEADLINE,
        firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT,
        tokenTimeoutMs: TOKEN_TIMEOUT,
        signal: abort.signal,
        limits: {
            maximumRetries: MAXIMUM_RETRIES,
            takeRetry: () => seen.retriesTaken < (schedule.budget ?? 100) && ++seen.retriesTaken > 0,
        },
    });
    if (schedule.abortAt !== undefined) {
        void clock.sleep(schedule.abortAt).then(() => abort.abort(new failures.FailureError(REVOKED)));
    }
    const result = await clock.runUntilSettled(relay.run());
    seen.finished = true;
    return { result, delivered, openSignals, ...seen };
}

function answer(length: number): readonly string[] {
    return Array.from({ length }, (_, index) => word(index));
}

function checkAlways(schedule: Schedule, seen: Observation): void {
    assert.deepEqual(seen.delivered, answer(schedule.length).slice(0, seen.delivered.length));
    if (seen.result.ok) {
        assert.equal(seen.delivered.length, schedule.length);
        assert.equal(seen.result.value.count, schedule.length);
        return;
    }
    const { failure, execution, delivered } = seen.result.failure;
    assert.equal(delivered, seen.delivered.length);
    if (execution === "not-run") {
        assert.equal(seen.ran, false, `${failure.kind} says not run`);
    }
    if (catalogue.failures[failure.kind].execution === "not-run" && failure.kind !== REVOKED.kind) {
        assert.equal(seen.ran, false, `${failure.kind} means not run`);
    }
}

const position = fastCheck.integer({ min: 0, max: 12 });
const positions = fastCheck.uniqueArray(position, { maxLength: 4 });
const fault: fastCheck.Arbitrary<Fault> = fastCheck.oneof(
    fastCheck.constantFrom("refused", "short-count", "long-count", "shifted", "extra-redirect")
        .map(kind => ({ kind }) as Fault),
    fastCheck.record({ kind: fastCheck.constantFrom("end", "throw", "hang", "failed"), after: position }),
    fastCheck.record({ kind: fastCheck.constant("lost"), at: position }),
);
const noise = { noiseDelay: fastCheck.constant(0), doubled: positions, swapped: positions, foreign: positions };
// Swaps can make an event late by several delays, which stay below the time-out together.
const delay = fastCheck.integer({ min: 0, max: 15 });
const faultyScript = fastCheck.record({ fault, delay, ...noise });
const rightScript = fastCheck.record({ fault: fastCheck.constant<Fault>({ kind: "none" }), delay, ...noise });
const length = fastCheck.integer({ min: 0, max: 10 });
const scripts = fastCheck.tuple(fastCheck.array(faultyScript, { maxLength: MAXIMUM_RETRIES }), rightScript)
    .map(([first, last]) => [...first, last]);
const time = fastCheck.integer({ min: 0, max: 1500 });

testing.test("relay: with a right server at the end, every schedule of faults gives the whole answer in order", async () => {
    await fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.record({ length, scripts }), async schedule => {
            const seen = await play(schedule);
            checkAlways(schedule, seen);
            assert.ok(seen.result.ok, JSON.stringify(seen.result));
            assert.ok(seen.attempts <= schedule.scripts.length, "a right server was left");
        }),
        { seed: SEED, numRuns: 300 },
    );
});

testing.test("relay: aborts, deadlines and small budgets leave a prefix and never a false completion", async () => {
    const schedules = fastCheck.record({
        length,
        scripts,
        abortAt: fastCheck.option(time, { nil: undefined }),
        deadline: fastCheck.option(time, { nil: undefined }),
        budget: fastCheck.option(fastCheck.integer({ min: 0, max: 2 }), { nil: undefined }),
    });
    await fastCheck.assert(
        fastCheck.asyncProperty(schedules, async schedule => {
            const seen = await play(schedule);
            checkAlways(schedule, seen);
            assert.ok(seen.retriesTaken <= (schedule.budget ?? 100));
            assert.ok(seen.openSignals.every(signal => signal.aborted), "an attempt was left open");
        }),
        { seed: SEED + 1, numRuns: 300 },
    );
});

testing.test("relay: a stream that never sends its end event fails although all tokens came", async () => {
    const cut = { ...CLEAN, fault: { kind: "end", after: 4 } as const };
    const seen = await play({ length: 3, scripts: [cut], budget: 0 });
    assert.deepEqual(seen.delivered, answer(3));
    assert.equal(!seen.result.ok && seen.result.failure.failure.kind, "stream-incomplete");
});

testing.test("relay: a slow stream is kept, a stalled one and one that only repeats itself are left", async () => {
    const slow = await play({ length: 5, scripts: [{ ...CLEAN, delay: TOKEN_TIMEOUT - 1 }] });
    assert.equal(slow.attempts, 1);
    const stalled = await play({ length: 5, scripts: [{ ...CLEAN, delay: TOKEN_TIMEOUT + 1 }] });
    assert.equal(stalled.attempts, 2);
    assert.deepEqual(stalled.excluded, ["s1"]);
    const repeating = { ...CLEAN, noiseDelay: TOKEN_TIMEOUT * 0.6, doubled: [2, 2, 2, 2] };
    assert.equal((await play({ length: 5, scripts: [repeating] })).attempts, 2);
});

testing.test("relay: a typed abort ends the answer with its reason before the next token", async () => {
    const seen = await play({ length: 8, scripts: [{ ...CLEAN, delay: 10 }], abortAt: 45 });
    assert.equal(seen.delivered.length, 3);
    assert.deepEqual(!seen.result.ok && seen.result.failure, {
        failure: REVOKED,
        execution: "unknown",
        delivered: 3,
        attempts: 1,
    });
});

testing.test("relay: a refusal of every server is reported as not run, and not after a lost server", async () => {
    const refused = { ...CLEAN, fault: { kind: "refused" } as const };
    const lost = { ...CLEAN, fault: { kind: "throw", after: 0 } as const };
    const never = await play({ length: 3, scripts: [refused, refused], budget: 1 });
    assert.equal(!never.result.ok && never.result.failure.execution, "not-run");
    const maybe = await play({ length: 3, scripts: [lost, refused], budget: 1 });
    assert.equal(!maybe.result.ok && maybe.result.failure.failure.kind, "stream-interrupted");
    assert.equal(!maybe.result.ok && maybe.result.failure.execution, "unknown");
});
