/**
 * Guards against calls that are all different but share one prompt part which crashes server after server, and against
 * sound calls that are refused because they were in flight beside them.
 */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as codec from "../../src/peering/suspect-codec.js";
import * as suspectTrackers from "../../src/quarantine/suspect-tracker.js";
import * as simulationClock from "../support/simulation-clock.js";

const ENTRIES = 5;
const DEADLY = "part:deadly";
const WALLS = 60;
/** Times in milliseconds: between two calls, and until a server begins to answer. */
const CALL_INTERVAL_MS = 40;
const PREFILL_MS = 120;
const HEARTBEAT_MS = 150;
const SERVERS = 10;
const RESTART_MS = 3000;
const CONTACT_MS = 3000;

interface Call {
    readonly entry: number;
    readonly fingerprints: readonly string[];
    readonly beginsAt: number;
    readonly trial: { readonly suspects: readonly string[]; readonly reservation: Disposable; } | undefined;
    readonly sentAt: number;
}

interface Server {
    boot: number;
    upFrom: number;
    calls: Call[];
}

interface Outcome {
    readonly crashes: number[];
    readonly deadlyArrivals: number[];
    sound: { begun: number; refused: number; waited: number; lost: number; };
}

function tracker(self: string): suspectTrackers.SuspectTracker {
    return new suspectTrackers.SuspectTracker({
        journal: { emit: () => undefined },
        self,
        entryCount: () => ENTRIES,
        onUrgentChange: () => undefined,
        onRefusalsChange: () => undefined,
    });
}

function at(now: number): suspectTrackers.Moment {
    return { now, wallTime: now };
}

/** Entries that exchange encoded states, in front of servers that crash as they begin to answer on the deadly part. */
class Simulation {
    readonly outcome: Outcome = {
        crashes: [],
        deadlyArrivals: [],
        sound: { begun: 0, refused: 0, waited: 0, lost: 0 },
    };
    readonly trackers = Array.from({ length: ENTRIES }, (_, index) => tracker(`entry-${index}`));
    private readonly random: () => number;
    private readonly servers: Server[] = Array.from({ length: SERVERS }, () => ({ boot: 0, upFrom: 0, calls: [] }));

    constructor(seed: number, private readonly isCut: (entry: number, now: number) => boolean = () => false) {
        this.random = simulationClock.randomGenerator(seed);
    }

    run(durationMs: number, deadlyShare: number, crashAllAt?: number): void {
        for (let now = 0; now < durationMs; now += 10) {
            if (now % CALL_INTERVAL_MS === 0) {
                this.send(this.newCall(deadlyShare), now);
            }
            if (now === crashAllAt) {
                this.servers.forEach((_, index) => this.crash(index, now));
            }
            this.servers.forEach((server, index) => this.advance(server, index, now));
            if (now % HEARTBEAT_MS === 0) {
                this.exchange(now);
            }
        }
    }

    restart(entry: number): void {
        this.trackers[entry] = tracker(`entry-${entry}`);
    }

    private newCall(deadlyShare: number): readonly string[] {
        const wall = Math.floor(this.random() * WALLS);
        const isDeadly = this.random() < deadlyShare;
        return [
            `part:root${wall % 4}`,
            `part:wall${wall}`,
            ...isDeadly ? [DEADLY] : [],
            `request:${this.random()}`,
        ];
    }

    private send(fingerprints: readonly string[], now: number): void {
        const entry = Math.floor(this.random() * ENTRIES);
        const admission = this.trackers[entry]!.decide(fingerprints, at(now));
        const isDeadly = fingerprints.includes(DEADLY);
        if (admission.kind === "refuse" || admission.kind === "wait") {
            this.outcome.sound.refused += isDeadly || admission.kind === "wait" ? 0 : 1;
            this.outcome.sound.waited += isDeadly || admission.kind === "refuse" ? 0 : 1;
            return;
        }
        const up = this.servers.filter(server => server.upFrom <= now);
        const server = up[Math.floor(this.random() * up.length)];
        if (server === undefined) {
            return;
        }
        if (isDeadly) {
            this.outcome.deadlyArrivals.push(now);
        }
        const trial = admission.kind === "trial"
            ? { suspects: admission.suspects, reservation: this.trackers[entry]!.beginTrial(admission.suspects) }
            : undefined;
        server.calls.push({ entry, fingerprints, beginsAt: now + PREFILL_MS, trial, sentAt: now });
    }

    private advance(server: Server, index: number, now: number): void {
        for (const call of server.calls.filter(candidate => candidate.beginsAt <= now)) {
            if (call.fingerprints.includes(DEADLY)) {
                this.crash(index, now);
                return;
            }
            server.calls = server.calls.filter(other => other !== call);
            call.trial?.reservation[Symbol.dispose]();
            this.trackers[call.entry]!.recordAnswer(call.fingerprints, at(now));
            this.outcome.sound.begun++;
        }
    }

    private crash(index: number, now: number): void {
        const server = this.servers[index]!;
        const lost = server.calls;
        const boot = `server-${index}/${server.boot}`;
        this.outcome.crashes.push(now);
        for (let entry = 0; entry < ENTRIES; entry++) {
            const own = lost.filter(call => call.entry === entry);
            own.forEach(call => call.trial?.reservation[Symbol.dispose]());
            if (own.length > 0) {
                this.trackers[entry]!.recordCrash({
                    server: boot,
                    fingerprints: own.flatMap(call => call.fingerprints),
                    trials: new Set(own.flatMap(call => call.trial?.suspects ?? [])),
                }, at(now));
            }
        }
        this.outcome.sound.lost += lost.filter(call => !call.fingerprints.includes(DEADLY)).length;
        server.calls = [];
        server.boot++;
        server.upFrom = now + RESTART_MS;
    }

    private exchange(now: number): void {
        const states = this.trackers.map(sender => {
            return codec.fromTuple(codec.toTuple(sender.snapshot(Math.round(now / HEARTBEAT_MS), at(now))));
        });
        this.trackers.forEach((receiver, index) => {
            states.forEach((state, sender) => {
                if (sender !== index && !this.isCut(index, now) && !this.isCut(sender, now)) {
                    receiver.applyPeer(`entry-${sender}`, state, at(now));
                }
            });
        });
    }
}

/** Calls with the part that arrive later than the entries have to know of the fifth crash. */
function lateArrivals({ crashes, deadlyArrivals }: Outcome): number {
    const fifth = crashes[4];
    return fifth === undefined ? 0 : deadlyArrivals.filter(time => time > fifth + CONTACT_MS).length;
}

testing.test("deadly part: few crashes, whichever entries its calls reach, and sound calls go on", () => {
    for (let seed = 1; seed <= 40; seed++) {
        for (const share of [0.02, 0.05, 0.2]) {
            const simulation = new Simulation(seed);
            simulation.run(40_000, share);
            const { crashes, sound } = simulation.outcome;
            const label = `seed ${seed}, share ${share}: ${JSON.stringify(sound)}, ${crashes.length} crashes`;
            assert.ok(lateArrivals(simulation.outcome) <= 3, label);
            assert.ok(crashes.length <= 8, label);
            assert.ok(sound.refused + sound.waited < 0.1 * sound.begun, label);
        }
    }
});

testing.test("deadly part: entries that restart or are cut off for a time learn of it from the others", () => {
    for (let seed = 1; seed <= 40; seed++) {
        const simulation = new Simulation(seed, (entry, now) => entry === 2 && now > 1000 && now < 8000);
        simulation.run(12_000, 0.1);
        for (let entry = 0; entry < ENTRIES - 1; entry++) {
            simulation.restart(entry);
        }
        const crashesBefore = simulation.outcome.crashes.length;
        simulation.run(300, 0);
        for (const known of simulation.trackers) {
            assert.equal(known.decide(["part:root0", "part:wall0", DEADLY], at(13_000)).kind, "refuse", `seed ${seed}`);
        }
        assert.equal(simulation.outcome.crashes.length, crashesBefore);
    }
});

testing.test("crash of all servers at once: sound parts that were in flight everywhere are not kept from servers", () => {
    for (let seed = 1; seed <= 40; seed++) {
        const simulation = new Simulation(seed);
        simulation.run(20_000, 0, 5000);
        const { sound } = simulation.outcome;
        assert.equal(sound.refused, 0, `seed ${seed}`);
        assert.ok(sound.waited <= 20, `seed ${seed}: ${sound.waited} calls waited for a trial`);
    }
});

testing.test("a sound part that occurs only with the deadly one is told apart by a call without the deadly one", () => {
    const known = tracker("entry");
    const both = ["part:wall", DEADLY];
    const crash = (server: string, now: number, trials: readonly string[]) => {
        known.recordCrash({ server, fingerprints: both, trials: new Set(trials) }, at(now));
    };
    crash("a", 0, []);
    crash("b", 100, []);
    assert.equal(known.decide(both, at(2000)).kind, "trial");
    crash("c", 2000, both);
    assert.equal(known.decide([...both, "part:other"], at(10_000)).kind, "refuse");
    assert.equal(known.decide(["part:wall"], at(10_000)).kind, "trial");
    known.recordAnswer(["part:wall"], at(10_100));
    assert.equal(known.decide(["part:wall"], at(10_200)).kind, "run");
    assert.equal(known.decide(both, at(10_200)).kind, "refuse");
});

testing.test("a refused part is tried again after a pause, so that a wrong accusation does not last", () => {
    const known = tracker("entry");
    ["a", "b"].forEach((server, index) => {
        known.recordCrash({ server, fingerprints: ["part:root"], trials: new Set() }, at(index));
    });
    known.recordCrash({ server: "c", fingerprints: ["part:root"], trials: new Set(["part:root"]) }, at(10));
    const refused = known.decide(["part:root"], at(1000));
    assert.equal(refused.kind, "refuse");
    const retryAt = 1000 + (refused.kind === "refuse" ? refused.retryAfterMs : 0);
    assert.equal(known.decide(["part:root"], at(retryAt + 1000)).kind, "trial");
    known.recordAnswer(["part:root"], at(retryAt + 1100));
    assert.equal(known.decide(["part:root"], at(retryAt + 1200)).kind, "run");
});

testing.test("a call whose part becomes refused while it waits at a server is withdrawn from it", () => {
    const known = tracker("entry");
    let withdrawn = 0;
    using _pending = known.trackPending({ fingerprints: () => [DEADLY], withdraw: () => withdrawn++ });
    using _sound = known.trackPending({ fingerprints: () => ["part:sound"], withdraw: () => assert.fail() });
    ["a", "b"].forEach(server => {
        known.recordCrash({ server, fingerprints: [DEADLY, "part:sound"], trials: new Set() }, at(0));
    });
    known.recordAnswer(["part:sound"], at(5));
    assert.equal(withdrawn, 0);
    known.recordCrash({ server: "c", fingerprints: [DEADLY], trials: new Set([DEADLY]) }, at(10));
    assert.equal(withdrawn, 1);
});

testing.test("a refused part stays refused beyond the time for which a crash alone makes a suspect", () => {
    const known = tracker("entry");
    ["a", "b"].forEach(server => {
        known.recordCrash({ server, fingerprints: [DEADLY], trials: new Set() }, at(0));
    });
    known.recordCrash({ server: "c", fingerprints: [DEADLY], trials: new Set([DEADLY]) }, at(10));
    // By then it may be tried again, but one call at a time.
    const later = at(11 * 60 * 1000);
    assert.equal(known.decide([DEADLY], later).kind, "trial");
    using _trial = known.beginTrial([DEADLY]);
    assert.equal(known.decide([DEADLY], later).kind, "wait");
});

testing.test("a refused part is in every message, however many suspects were accused after it", () => {
    const known = tracker("entry");
    ["a", "b"].forEach(server => {
        known.recordCrash({ server, fingerprints: [DEADLY], trials: new Set() }, at(0));
    });
    known.recordCrash({ server: "c", fingerprints: [DEADLY], trials: new Set([DEADLY]) }, at(10));
    const later = 10 * 60 * 1000;
    const others = Array.from({ length: 200 }, (_, index) => `part:other${index}`);
    known.recordCrash({ server: "d", fingerprints: others, trials: new Set() }, at(later));
    for (let sequence = 0; sequence < 40; sequence++) {
        const { records } = known.snapshot(sequence, at(later + sequence * HEARTBEAT_MS));
        assert.ok(records.some(record => record.fingerprint === DEADLY), `message ${sequence}`);
    }
});
