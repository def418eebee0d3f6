/** Guards against calls that overtake more urgent ones, and against calls that wait beyond their timeout. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callQueues from "../../src/forwarding/call-queue.js";

/** Enqueues the calls. Each `dispatch` of the result makes `free` server slots available. */
function enqueueAll(
    calls: readonly { readonly name: string; readonly priority: number; readonly arrivedAt: number; }[],
) {
    const queue = new callQueues.CallQueue();
    const placed: string[] = [];
    const timedOut: string[] = [];
    let freeSlots = 0;
    for (const { name, priority, arrivedAt } of calls) {
        queue.enqueue({
            priority,
            arrivedAt,
            timeoutAt: arrivedAt + 1000,
            requirements: undefined,
            tryPlace: () => {
                if (freeSlots === 0) {
                    return false;
                }
                freeSlots--;
                placed.push(name);
                return true;
            },
            onTimeout: () => void timedOut.push(name),
            onError: () => undefined,
        });
    }
    const dispatch = (free: number, now: number) => {
        freeSlots = free;
        queue.dispatch(now);
    };
    return { queue, placed, timedOut, dispatch };
}

testing.test("calls are placed by priority, then by arrival time", () => {
    const { placed, dispatch } = enqueueAll([
        { name: "review 1", priority: 1, arrivedAt: 0 },
        { name: "note 1", priority: 0, arrivedAt: 10 },
        { name: "note 2", priority: 0, arrivedAt: 5 },
        { name: "review 2", priority: 1, arrivedAt: 20 },
    ]);
    dispatch(2, 30);
    dispatch(2, 40);
    assert.deepEqual(placed, ["note 2", "note 1", "review 1", "review 2"]);
});

testing.test("guards against calls that stay queued until their callers have disconnected", () => {
    const { queue, timedOut, dispatch } = enqueueAll([
        { name: "early", priority: 0, arrivedAt: 0 },
        { name: "late", priority: 0, arrivedAt: 600 },
    ]);
    dispatch(0, 999);
    assert.equal(queue.size, 2);
    dispatch(0, 1000);
    assert.deepEqual(timedOut, ["early"]);
    assert.equal(queue.size, 1);
});

testing.test("a call that is placed at its timeout does not time out", () => {
    const { placed, timedOut, dispatch } = enqueueAll([{ name: "call", priority: 0, arrivedAt: 0 }]);
    dispatch(1, 1000);
    assert.deepEqual([placed, timedOut], [["call"], []]);
});

testing.test("overload: a pass tries one call of those with the same requirements, and the others that may fit", () => {
    const queue = new callQueues.CallQueue();
    const tried: string[] = [];
    const enqueue = (name: string, requirements: string | undefined, isPlaceable: boolean) => {
        const tryPlace = () => {
            tried.push(name);
            return isPlaceable;
        };
        queue.enqueue({
            priority: 0,
            arrivedAt: tried.length,
            timeoutAt: 1000,
            requirements,
            tryPlace,
            onTimeout: () => undefined,
            onError: () => undefined,
        });
    };
    enqueue("menu 1", "menu", false);
    enqueue("menu 2", "menu", false);
    enqueue("menu, tried one server", undefined, false);
    enqueue("note", "note", true);
    queue.dispatch(10);
    assert.deepEqual(tried, ["menu 1", "menu, tried one server", "note"]);
    assert.equal(queue.size, 3);
});

testing.test("guards against a call that stays queued because another one could not be placed", () => {
    const queue = new callQueues.CallQueue();
    const timedOut: string[] = [];
    for (const name of ["one", "two"]) {
        const onTimeout = () => void timedOut.push(name);
        queue.enqueue({
            priority: 0,
            arrivedAt: 0,
            timeoutAt: 100,
            requirements: "menu",
            tryPlace: () => false,
            onTimeout,
            onError: () => undefined,
        });
    }
    queue.dispatch(100);
    assert.deepEqual(timedOut, ["one", "two"]);
});

testing.test("weights update: a call that waits for shared parts is seen, blocks no other, and is not tried before", () => {
    const queue = new callQueues.CallQueue();
    const tried: string[] = [];
    const enqueue = (name: string, waitsForServer: boolean, readyAt: number) => {
        queue.enqueue({
            priority: 0,
            arrivedAt: tried.length,
            timeoutAt: waitsForServer ? 1000 : Infinity,
            requirements: waitsForServer ? "menu" : undefined,
            waitsForServer,
            isReady: now => now >= readyAt,
            tryPlace: () => {
                tried.push(name);
                return false;
            },
            onTimeout: () => undefined,
            onError: () => undefined,
        });
    };
    enqueue("waits for parts", false, 40);
    enqueue("waits for a server", true, 0);
    assert.deepEqual([queue.size, queue.waitingForServer], [2, 1]);
    queue.dispatch(20);
    assert.deepEqual(tried, ["waits for a server"]);
    queue.dispatch(40);
    assert.deepEqual(tried, ["waits for a server", "waits for parts", "waits for a server"]);
});

testing.test("guards against a pass that keeps calls which were removed, or loses those that were added, during it", () => {
    const queue = new callQueues.CallQueue();
    const placed: string[] = [];
    const call = (name: string, onTry: () => boolean): callQueues.QueuedCall => ({
        priority: 0,
        arrivedAt: 0,
        timeoutAt: 1000,
        requirements: undefined,
        tryPlace: () => {
            placed.push(name);
            return onTry();
        },
        onTimeout: () => undefined,
        onError: () => undefined,
    });
    const cancelled = call("cancelled", () => false);
    queue.enqueue(call("first", () => {
        queue.remove(cancelled);
        queue.enqueue(call("added", () => true));
        return true;
    }));
    queue.enqueue(cancelled);
    queue.dispatch(10);
    assert.deepEqual([placed, queue.size], [["first"], 1]);
    queue.dispatch(20);
    assert.deepEqual([placed, queue.size], [["first", "added"], 0]);
});
