/** Rules of the fair queue one by one, and its asynchronous shell. */
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

function job(id: number, change: Partial<types.Job> = {}): types.Job {
    const usual = {
        customer: "a",
        priority: "interactive",
        cost: 100,
        tokens: 100,
        deadline: 1e9,
        alone: false,
    } as const;
    return { ...usual, ...change, id };
}

function started(queue: fairQueues.FairQueue, now: number): readonly number[] {
    const ids: number[] = [];
    for (let next = queue.next(now); next !== undefined; next = queue.next(now)) {
        ids.push(next.id);
    }
    return ids;
}

testing.test("fair queue: guards against more running jobs or tokens than the limits allow", () => {
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
                started(queue, id * 10).forEach(next => running.set(next, steps[next].cost));
                assert.ok(running.size <= limits.slots);
                assert.ok([...running.values()].reduce((sum, tokens) => sum + tokens, 0) <= limits.runningTokens);
                assert.ok(queue.load().waiting <= limits.queuedJobs);
                assert.ok(queue.load().queuedCost <= limits.queuedCost);
            });
        }),
        { seed: SEED },
    );
});

testing.test("fair queue: guards against shedding a customer that is not the one furthest over its share", () => {
    const queue = new fairQueues.FairQueue(limits);
    [1, 2, 3, 4].forEach(id => assert.deepEqual(queue.add(job(id), 0), []));
    const refused = queue.add(job(5, { customer: "b" }), 0);
    assert.deepEqual(refused.map(({ job: { id }, refusal }) => [id, refusal.failure.kind]), [[4, "queue-full"]]);
});

testing.test("fair queue: guards against batch jobs that starve or that keep interactive ones waiting", () => {
    const queue = new fairQueues.FairQueue({ ...limits, slots: 1, queuedJobs: 500, queuedCost: 1e6 });
    for (let id = 0; id < 200; id++) {
        queue.add(job(id), 0);
        queue.add(job(1000 + id, { customer: "b", priority: "batch" }), 0);
    }
    let batch = 0;
    for (let round = 0; round < 100; round++) {
        const [id] = started(queue, round);
        batch += id >= 1000 ? 1 : 0;
        queue.complete(id, 100, round);
    }
    assert.equal(batch, 10);
});

testing.test("fair queue: guards against an expected cost that was too low and stays without consequence", () => {
    const order = (actualCost: number) => {
        const queue = new fairQueues.FairQueue({ ...limits, slots: 1 });
        queue.add(job(1), 0);
        started(queue, 0);
        queue.add(job(2), 0);
        queue.add(job(3, { customer: "b", cost: 150 }), 0);
        queue.add(job(4, { customer: "b", cost: 150 }), 0);
        queue.complete(1, actualCost, 1);
        const first = started(queue, 1)[0];
        queue.complete(first, first === 2 ? 100 : 150, 2);
        return [first, started(queue, 2)[0]];
    };
    assert.deepEqual(order(100), [3, 2]);
    assert.deepEqual(order(900), [3, 4]);
});

testing.test("fair queue: guards against company for a job that must run alone, and against its starvation", () => {
    const queue = new fairQueues.FairQueue(limits);
    queue.add(job(1), 0);
    queue.add(job(2, { alone: true, customer: "b" }), 0);
    assert.deepEqual(started(queue, 0), [1]);
    queue.add(job(3, { customer: "c" }), 2000);
    queue.add(job(4, { customer: "d" }), 2000);
    assert.deepEqual(started(queue, 2000), [], "the waiting job holds back the others");
    queue.complete(1, 100, 2001);
    assert.deepEqual(started(queue, 2001), [2]);
    queue.complete(2, 100, 2002);
    assert.deepEqual(started(queue, 2002), [3, 4]);
});

testing.test("fair queue: guards against accepting a job that can't start before its deadline", () => {
    const queue = new fairQueues.FairQueue({ ...limits, slots: 1, queuedJobs: 100, queuedCost: 1e6 });
    for (let id = 0; id < 60; id++) {
        queue.add(job(id), 0);
    }
    // 100 tokens in 100 ms.
    for (let round = 0; round < 20; round++) {
        queue.complete(started(queue, round * 100)[0], 100, (round + 1) * 100);
    }
    started(queue, 2000);
    const refused = queue.add(job(100, { deadline: 3000 }), 2000);
    assert.deepEqual(refused.map(({ job: { id }, refusal }) => [id, refusal.failure.kind]), [[100, "queue-deadline"]]);
    assert.deepEqual(queue.add(job(101, { deadline: 9000 }), 2000), []);
    assert.deepEqual(queue.expire(9000).map(late => late.job.id), [101]);
});

testing.test("job queue: guards against slots that a cancelled or disposed job keeps", async () => {
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
