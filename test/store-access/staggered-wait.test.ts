/** Guards against readers of the store whose waits all end at the same moment, so that none finds a silence early. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as staggeredWaits from "../../src/store-access/staggered-wait.js";

const OPTIONS = { intervalMs: 1000, maximumMs: 20_000 };
const OBSERVED_MS = 120_000;

interface Phase {
    /** Time in milliseconds at which all waits are interrupted, if they are. */
    readonly interruptedAt?: number;
    /** Time in milliseconds from which `readers` applies; before it, `count` does. */
    readonly changedAt?: number;
    readonly readers?: number;
    /** Time in milliseconds from which the ends are compared. */
    readonly comparedFrom?: number;
}

/** Longest time in milliseconds without the end of a wait of any reader, after a change at time 0 that all have seen. */
function longestGap(
    count: number,
    { interruptedAt = Infinity, changedAt = Infinity, readers = count, comparedFrom = 0 }: Phase,
): number {
    const ends: number[] = [comparedFrom];
    const countAt = (now: number) => now < changedAt ? count : readers;
    for (let rank = 0; rank < Math.max(count, readers); rank++) {
        const wait = new staggeredWaits.StaggeredWait(OPTIONS);
        const next = (now: number, isFirst: boolean) => {
            // A reader that has gone away or has not come yet ends no wait.
            const isReader = rank < countAt(now);
            return now + wait.next({ count: countAt(now), rank: isReader ? rank : 0 }, isFirst, now)!;
        };
        let startedAt = 0;
        let at = next(0, true);
        while (at <= OBSERVED_MS) {
            if (startedAt < interruptedAt && interruptedAt < at) {
                startedAt = interruptedAt;
                at = next(interruptedAt, false);
                continue;
            }
            ends.push(...rank < countAt(at) && at >= comparedFrom ? [at] : []);
            startedAt = at;
            at = next(at, false);
        }
    }
    ends.sort((left, right) => left - right);
    return Math.max(...ends.slice(1).map((end, index) => end - ends[index]!));
}

for (const count of [1, 2, 3, 4, 8, 28, 68]) {
    testing.test(`${count} readers: the wait of one of them ends in each interval after a change`, () => {
        const longest = longestGap(count, {});
        assert.ok(longest <= OPTIONS.intervalMs + 1, `${longest} ms without the end of a wait`);
    });

    testing.test(`${count} readers whose waits are interrupted at the same time do not end the next ones together`, () => {
        const longest = longestGap(count, { interruptedAt: 5300 });
        assert.ok(longest <= OPTIONS.intervalMs + 1, `${longest} ms without the end of a wait`);
    });
}

for (const [before, after] of [[1, 2], [7, 8], [8, 7], [27, 28]] as const) {
    testing.test(`${before} readers that become ${after} spread their waits again`, () => {
        const longest = longestGap(before, { changedAt: 30_000, readers: after, comparedFrom: 60_000 });
        assert.ok(longest <= OPTIONS.intervalMs + 1, `${longest} ms without the end of a wait`);
    });
}

testing.test("readers that learn of each other during the same wait spread the next ones", () => {
    const waits = [0, 1, 2, 3].map(rank => {
        const wait = new staggeredWaits.StaggeredWait(OPTIONS);
        const firstMs = wait.next({ count: 1, rank: 0 }, true, 0)!;
        return wait.next({ count: 4, rank }, false, firstMs)!;
    });
    assert.deepEqual(waits.sort((left, right) => left - right), [1000, 2000, 3000, 4000]);
});

testing.test("an answer that arrives a moment early is not followed by a wait of a moment", () => {
    const wait = new staggeredWaits.StaggeredWait(OPTIONS);
    assert.equal(wait.next({ count: 2, rank: 0 }, true, 0), 1000);
    assert.equal(wait.next({ count: 2, rank: 0 }, false, 999), 2001);
});
