/** Scheduling rules of the fair queue, and its asynchronous interface. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as clocks from "../../src/clock/clock.js";
import * as fairQueues from "../../src/fairness/fair-queue.js";
import * as jobQueues from "../../src/fairness/job-queue.js";
import type * as types from "../../src/fairness/types.js";
import * as journals from "../../src/logging/journal.js";

const SEED = 7;
const limits: types.Limits = { slots: 2, runningTokens: 1000, queuedJobs: 4, queuedCost: 2000 };
const clock: clocks.Clock = {
    now: () => 0,
    wallTime: () => 0,
    random: () => 0.5,
    identifier: () => "id",
    sleep: () => new Promise(() => undefined),
};

function job(id: number, overrides: Partial<types.Job> = {}): types.Job {
    const defaults = {
        customer: "a",
        priority: "interactive",
        cost: 100,
        tokens: 100,
        deadline: 1e9,
        isExclusive: false,
    } as const;
    return { ...defaults, ...overrides, id };
}

function startJobs(queue: fairQueues.FairQueue, now: number): readonly number[] {
    const ids: number[] = [];
    for (let next = queue.next(now); next !== undefined; next = queue.next(now)) {
        ids.push(next.id);
    }
    return ids;
}

testing.test("fair queue: running jobs, running tokens and waiting work stay within the limits", () => {
    const step = fastCheck.record({
        cost: fastCheck.integer({ min: 1, max: 900 }),
        customer: fastCheck.constantFrom("a", "b"),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 60 }), steps => {
            const queue = new fairQueues.FairQueue(limits);
            const running = new Map<number, number>();
            steps.forEach(({ cost, customer }, id) => {
                queue.add(job(id, { cost, tokens: cost, customer }), id * 10);
                if (id % 3 === 2) {
                    const first = [...running.keys()].at(0);
                    if (first !== undefined) {
                        queue.complete(first, running.get(first)!, id * 10);
                        running.delete(first);
                    }
                }
                startJobs(queue, id * 10).forEach(next => running.set(next, steps[next].cost));
                assert.ok(running.size <= limits.slots);
                assert.ok([...running.values()].reduce((sum, tokens) => sum + tokens, 0) <= limits.runningTokens);
                assert.ok(queue.load().waiting <= limits.queuedJobs);
                assert.ok(queue.load().queuedCost <= limits.queuedCost);
            });
        }),
        { seed: SEED },
    );
});

testing.test("fair queue: sheds the job of the customer that exceeds its share most", () => {
    const queue = new fairQueues.FairQueue(limits);
    [1, 2, 3, 4].forEach(id => assert.deepEqual(queue.add(job(id), 0), []));
    const refused = queue.add(job(5, { customer: "b" }), 0);
    assert.deepEqual(refused.map(({ job: { id }, refusal }) => [id, refusal.failure.kind]), [[4, "queue-full"]]);
});

testing.test("fair queue: batch jobs get a tenth of the server while interactive jobs wait", () => {
    const queue = new fairQueues.FairQueue({ ...limits, slots: 1, queuedJobs: 500, queuedCost: 1e6 });
    for (let id = 0; id < 200; id++) {
        queue.add(job(id), 0);
        queue.add(job(1000 + id, { customer: "b", priority: "batch" }), 0);
    }
    let batch = 0;
    for (let round = 0; round < 100; round++) {
        const [id] = startJobs(queue, round);
        batch += id >= 1000 ? 1 : 0;
        queue.complete(id, 100, round);
    }
    assert.equal(batch, 10);
});

testing.test("fair queue: a customer is charged for an underestimated cost", () => {
    const startOrder = (actualCost: number) => {
        const queue = new fairQueues.FairQueue({ ...limits, slots: 1 });
        queue.add(job(1), 0);
        startJobs(queue, 0);
        queue.add(job(2), 0);
        queue.add(job(3, { customer: "b", cost: 150 }), 0);
        queue.add(job(4, { customer: "b", cost: 150 }), 0);
        queue.complete(1, actualCost, 1);
        const first = startJobs(queue, 1)[0];
        queue.complete(first, first === 2 ? 100 : 150, 2);
        return [first, startJobs(queue, 2)[0]];
    };
    assert.deepEqual(startOrder(100), [3, 2]);
    assert.deepEqual(startOrder(900), [3, 4]);
});

testing.test("fair queue: an exclusive job runs alone and does not starve", () => {
    const queue = new fairQueues.FairQueue(limits);
    queue.add(job(1), 0);
    queue.add(job(2, { isExclusive: true, customer: "b" }), 0);
    assert.deepEqual(startJobs(queue, 0), [1]);
    queue.add(job(3, { customer: "c" }), 2000);
    queue.add(job(4, { customer: "d" }), 2000);
    assert.deepEqual(startJobs(queue, 2000), [], "the waiting exclusive job blocks the others");
    queue.complete(1, 100, 2001);
    assert.deepEqual(startJobs(queue, 2001), [2]);
    queue.complete(2, 100, 2002);
    assert.deepEqual(startJobs(queue, 2002), [3, 4]);
});

testing.test("fair queue: refuses a job that can't start before its deadline", () => {
    const queue = new fairQueues.FairQueue({ ...limits, slots: 1, queuedJobs: 100, queuedCost: 1e6 });
    for (let id = 0; id < 60; id++) {
        queue.add(job(id), 0);
    }
    // The measured throughput is 100 tokens in 100 ms.
    for (let round = 0; round < 20; round++) {
        queue.complete(startJobs(queue, round * 100)[0], 100, (round + 1) * 100);
    }
    startJobs(queue, 2000);
    const refused = queue.add(job(100, { deadline: 3000 }), 2000);
    assert.deepEqual(refused.map(({ job: { id }, refusal }) => [id, refusal.failure.kind]), [[100, "queue-deadline"]]);
    assert.deepEqual(queue.add(job(101, { deadline: 9000 }), 2000), []);
    assert.deepEqual(queue.expire(9000).map(late => late.job.id), [101]);
});

testing.test("job queue: a cancelled or disposed job releases its slot", async () => {
    using queue = new jobQueues.JobQueue({ ...limits, slots: 1 }, clock, journals.silentJournal);
    const request: types.JobRequest = job(0);
    const first = await queue.acquire(request);
    assert.ok(first.ok);
    const abort = new AbortController();
    const second = queue.acquire(request, abort.signal);
    const third = queue.acquire(request);
    abort.abort();
    const cancelled = await second;
    assert.equal(!cancelled.ok && cancelled.failure.kind, "queue-cancelled");
    first.value[Symbol.dispose]();
    first.value.complete(1);
    const next = await third;
    assert.ok(next.ok);
    assert.equal(queue.load().running, 1);
    next.value.complete(100);
    assert.equal(queue.load().running, 0);
});
