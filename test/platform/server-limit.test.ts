/** Guards against servers in need that get more requests than the limit that they name, over all entries together. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as simulationClock from "../support/simulation-clock.js";
import * as fleets from "./soak-fleet.js";
import * as standIns from "./stand-ins.js";

const SEED = 8;
const CALLERS = 8;
const CALL_PAUSE_MS = 10;
/** Requests a second that all model workers but one name. */
const LIMIT_PER_SECOND = 2.5;
/** Times in milliseconds: before the limits, with limits, and after them. */
const CALM_MS = 2000;
const LIMITED_MS = 12_000;
const STOP_AFTER_MS = 6000;
const FREE_MS = 3000;
/** Time in milliseconds within which entries tell each other, and the windows in which requests are counted. */
const CONTACT_MS = 3000;
const WINDOW_MS = 4000;
/** Requests allowed in a window: a multiple of what the limit allows, and some more. */
const TOLERANCE = 1.5;
const TOLERATED_REQUESTS = 5;

testing.test("a server gets no more requests than the limit that it names to all entries together", async () => {
    await using fleet = await fleets.SoakFleet.start();
    const { random } = new simulationClock.SimulationClock(SEED);
    const answered: { readonly sentAt: number; readonly isAnswered: boolean; }[] = [];
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, async (_, index) => {
        const callerRandom = new simulationClock.SimulationClock(SEED + index).random;
        while (!isOver) {
            const sentAt = performance.now();
            const { status, isComplete } = await fleet.review([], callerRandom);
            answered.push({ sentAt, isAnswered: status === 200 && isComplete });
            await standIns.pause(CALL_PAUSE_MS);
        }
    });
    await standIns.pause(CALM_MS);
    const limited = fleet.modelWorkers.slice(1);
    const limitedFrom = performance.now();
    limited.forEach(address => fleet.log.limits.set(address, LIMIT_PER_SECOND));
    await standIns.pause(STOP_AFTER_MS);
    fleet.stopEntry(random);
    await standIns.pause(LIMITED_MS - STOP_AFTER_MS);
    const limitedUntil = performance.now();
    fleet.log.limits.clear();
    await standIns.pause(FREE_MS);
    isOver = true;
    await Promise.all(callers);

    const allowed = LIMIT_PER_SECOND * WINDOW_MS / 1000 * TOLERANCE + TOLERATED_REQUESTS;
    let total = 0;
    for (const address of limited) {
        const arrivals = (fleet.log.limitedArrivals.get(address) ?? []).filter(at => at > limitedFrom + CONTACT_MS);
        const busiest = Math.max(
            0,
            ...arrivals.map(from => arrivals.filter(at => at >= from && at < from + WINDOW_MS).length),
        );
        assert.ok(busiest <= allowed, `${address}: ${busiest} requests in ${WINDOW_MS} ms, ${allowed} are allowed`);
        total += arrivals.length;
    }
    assert.ok(total > 0, "servers with a limit get requests within it");
    const calls = answered.filter(call => call.sentAt >= limitedFrom && call.sentAt < limitedUntil);
    const share = calls.filter(call => call.isAnswered).length / calls.length;
    assert.ok(share >= 0.9, `${share} of the calls are answered, which the worker without a limit can take`);
});
