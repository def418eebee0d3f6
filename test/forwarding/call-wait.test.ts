/** Guards against waits for shared parts that no other decision sees, that never end, or that hold up other calls. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import type * as callPlacements from "../../src/forwarding/call-placement.js";
import type * as callRefusals from "../../src/forwarding/call-refusal.js";
import * as callWaits from "../../src/forwarding/call-wait.js";
import * as serviceQueues from "../../src/forwarding/service-queues.js";
import type * as types from "../../src/forwarding/types.js";
import type * as waitPolicies from "../../src/forwarding/wait-policy.js";

const SERVICE = "service";
const CHOICE = { kind: "server", candidate: {} } as callPlacements.ServerChoice;
const FULL: callPlacements.Placement = { kind: "none", reason: "all-full" };
const TIMEOUT_MS = 1000;

const POLICY: waitPolicies.WaitPolicy = {
    rankOf: () => 0,
    enginePriorityOf: () => 0,
    startTimesOf: () => undefined,
    waitEndsAt: () => TIMEOUT_MS,
    expectedWaitMs: () => undefined,
    retryAfterMs: (_admission, { usualMs }) => usualMs,
    retryAfterRejectionMs: () => 0,
};

/** An entry whose clock stands still until `passAt` sets it and dispatches the queue. */
class Waits implements Disposable {
    private now = 0;
    private readonly queues: serviceQueues.ServiceQueues;
    private readonly ports: types.CallPorts;
    readonly events: string[] = [];
    isPrefilling = true;
    choice: callPlacements.Placement = CHOICE;

    constructor() {
        const clock: clocks.Clock = { ...clocks.systemClock, now: () => this.now };
        this.queues = new serviceQueues.ServiceQueues(clock);
        const meter = { waited: (_: string, reason: string, end: string) => void this.events.push(`${reason} ${end}`) };
        this.ports = { clock, meter, queues: this.queues, suspects: { isEmpty: true } } as unknown as types.CallPorts;
    }

    get queue() {
        return this.queues.of(SERVICE);
    }

    begin(name: string, awaitsParts: boolean): callWaits.CallWait<string> {
        const admission = {
            service: SERVICE,
            head: { model: "model" },
            cache: { isBeingPrefilled: () => awaitsParts && this.isPrefilling },
            placement: { choose: () => this.choice, triedServers: new Set() },
        } as unknown as waitPolicies.WaitingCall["admission"];
        const wait = new callWaits.CallWait<string>(this.ports, {
            admission,
            arrivedAt: this.now,
            attempts: 0,
            executedAttempts: 0,
            lastProgressAt: this.now,
            policy: POLICY,
            log: () => undefined,
        }, {
            place: () => {
                this.events.push(`${name} placed`);
                return name;
            },
            refuse: (refusal: callRefusals.CallRefusal) => void this.events.push(`${name} ${refusal.detail}`),
        });
        void wait.run();
        return wait;
    }

    passAt(now: number): void {
        this.now = now;
        this.queues.dispatch();
    }

    [Symbol.dispose](): void {
        this.queues[Symbol.dispose]();
    }
}

testing.test("weights update: a call waits in the queue for shared parts, and others are placed meanwhile", () => {
    using waits = new Waits();
    waits.begin("waiting", true);
    waits.begin("other", false);
    assert.deepEqual([waits.queue.size, waits.queue.waitingForServer], [1, 0]);
    waits.passAt(40);
    assert.deepEqual(waits.events, ["other placed"]);
    waits.isPrefilling = false;
    waits.passAt(60);
    assert.equal(waits.queue.size, 1, "it is tried every 40 ms");
    waits.passAt(80);
    assert.deepEqual(waits.events, ["other placed", "part-being-read placed", "waiting placed"]);
    assert.equal(waits.queue.size, 0);
});

testing.test("guards against waiting for parts that are never prefilled", () => {
    using waits = new Waits();
    waits.begin("waiting", true);
    for (let now = 20; now < 350; now += 20) {
        waits.passAt(now);
    }
    assert.equal(waits.queue.size, 1);
    waits.passAt(380);
    assert.equal(waits.queue.size, 0);
    assert.equal(waits.events.at(-1), "waiting placed");
});

testing.test("a call whose servers have filled up while it waited for parts waits for a server, and is then refused", () => {
    using waits = new Waits();
    waits.begin("waiting", true);
    waits.choice = FULL;
    waits.passAt(40);
    assert.deepEqual([waits.queue.size, waits.queue.waitingForServer], [1, 1]);
    waits.passAt(TIMEOUT_MS - 1);
    assert.equal(waits.queue.size, 1);
    waits.passAt(TIMEOUT_MS);
    assert.deepEqual(waits.events, ["all-full refused", "waiting all-full"]);
});

testing.test("a call whose caller has left while it waited for parts leaves the queue", () => {
    using waits = new Waits();
    const wait = waits.begin("waiting", true);
    wait.cancel();
    waits.passAt(400);
    assert.deepEqual(waits.events, ["part-being-read cancelled"]);
    assert.equal(waits.queue.size, 0);
});
