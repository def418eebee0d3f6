/** Guards against readers of the store whose waits all end at the same moment, so that none finds a silence early. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as staggeredWaits from "../../src/store-access/staggered-wait.js";

const OPTIONS = { intervalMs: 1000, maximumMs: 20_000 };
const OBSERVED_MS = 120_000;

for (const count of [1, 2, 3, 4, 8, 28, 68]) {
    testing.test(`${count} readers: the wait of one of them ends in each interval after a change`, () => {
        const ends: number[] = [0];
        for (let rank = 0; rank < count; rank++) {
            const wait = new staggeredWaits.StaggeredWait(OPTIONS);
            let at = wait.next({ count, rank }, true);
            while (at <= OBSERVED_MS) {
                ends.push(at);
                at += wait.next({ count, rank }, false);
            }
        }
        ends.sort((left, right) => left - right);
        const longest = Math.max(...ends.slice(1).map((end, index) => end - ends[index]!));
        assert.ok(longest <= OPTIONS.intervalMs + 1, `${longest} ms without the end of a wait`);
    });
}

testing.test("readers that learn of each other during the same wait spread the next ones", () => {
    const waits = [0, 1, 2, 3].map(rank => {
        const wait = new staggeredWaits.StaggeredWait(OPTIONS);
        wait.next({ count: 1, rank: 0 }, true);
        return wait.next({ count: 4, rank }, false);
    });
    assert.deepEqual(waits, [1000, 2000, 3000, 4000]);
});
