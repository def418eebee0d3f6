/** Guards against calls that overtake more urgent ones, wait in vain, or wait without end. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as rooms from "../../src/forwarding/call-queue.js";

/** A burst on a service with few places: each step frees `places`. */
function replay(waiters: readonly { readonly name: string; readonly priority: number; readonly arrivedAt: number; }[]) {
    const room = new rooms.WaitingRoom();
    const placed: string[] = [];
    const givenUp: string[] = [];
    let places = 0;
    for (const { name, priority, arrivedAt } of waiters) {
        room.enter({
            priority,
            arrivedAt,
            giveUpAt: arrivedAt + 1000,
            tryPlace: () => {
                if (places === 0) {
                    return false;
                }
                places--;
                placed.push(name);
                return true;
            },
            giveUp: () => void givenUp.push(name),
        });
    }
    const step = (free: number, now: number) => {
        places = free;
        room.step(now);
    };
    return { room, placed, givenUp, step };
}

testing.test("burst: the most urgent call goes first, then the one that arrived first", () => {
    const { placed, step } = replay([
        { name: "review 1", priority: 1, arrivedAt: 0 },
        { name: "note 1", priority: 0, arrivedAt: 10 },
        { name: "note 2", priority: 0, arrivedAt: 5 },
        { name: "review 2", priority: 1, arrivedAt: 20 },
    ]);
    step(2, 30);
    step(2, 40);
    assert.deepEqual(placed, ["note 2", "note 1", "review 1", "review 2"]);
});

testing.test("guards against calls that are held until their callers have left", () => {
    const { room, givenUp, step } = replay([
        { name: "early", priority: 0, arrivedAt: 0 },
        { name: "late", priority: 0, arrivedAt: 600 },
    ]);
    step(0, 999);
    assert.equal(room.size, 2);
    step(0, 1000);
    assert.deepEqual(givenUp, ["early"]);
    assert.equal(room.size, 1);
});

testing.test("a call that is placed at the last moment is not given up", () => {
    const { placed, givenUp, step } = replay([{ name: "call", priority: 0, arrivedAt: 0 }]);
    step(1, 1000);
    assert.deepEqual([placed, givenUp], [["call"], []]);
});
