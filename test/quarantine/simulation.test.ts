/** Guards against a request that crashes more than two servers, and against innocent requests that are refused. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as failures from "../../src/core/failure.js";
import * as board from "../../src/daemon/board.js";
import type * as gossip from "../../src/gossip/types.js";
import * as journal from "../../src/logging/journal.js";
import * as controllers from "../../src/quarantine/controller.js";
import * as decisions from "../../src/quarantine/decisions.js";
import * as gates from "../../src/quarantine/isolation-gate.js";
import * as trialServers from "../../src/quarantine/trial-server.js";
import type * as quarantine from "../../src/quarantine/types.js";
import * as continuation from "../../src/streams/continuation.js";
import type * as types from "../../src/streams/types.js";
import * as clocks from "../support/virtual-clock.js";

const SEED = 66;
const BAD = "bad";
const GOSSIP_LIMIT = 10;
const SEED_PEERS = 3;
const ENGINE_RESTART = 30;
const ATTEMPT_LIMIT = 60;

type Ending = failures.FailureKind | "done";

interface Schedule {
    readonly servers: number;
    readonly entries: number;
    readonly innocents: readonly { readonly at: number; readonly duration: number; }[];
    readonly badAt: number;
    readonly badDuration: number;
    /** Delays after the first crash of copies that the caller sends, each through another entry. */
    readonly copies: readonly number[];
    readonly copyDuration: number;
    readonly agentRestarts: readonly { readonly at: number; readonly server: number; }[];
    readonly randomness: readonly number[];
}

class World {
    now = 0;
    crashes: string[] = [];
    readonly nodes: Node[] = [];
    private readonly queue: { at: number; order: number; action: () => void; }[] = [];
    private order = 0;
    private draws = 0;

    constructor(readonly schedule: Schedule) {}

    after(delay: number, action: () => void): void {
        this.queue.push({ at: this.now + delay, order: this.order++, action });
    }

    draw(limit: number): number {
        const { randomness } = this.schedule;
        return (randomness[this.draws++ % randomness.length] + this.draws * 7) % limit;
    }

    run(): void {
        while (this.queue.length > 0) {
            this.queue.sort((left, right) => left.at - right.at || left.order - right.order);
            const next = this.queue.shift() as World["queue"][number];
            this.now = next.at;
            next.action();
        }
    }
}

/** Process with documents that reach the others late, and with the controller under test. */
class Node implements gossip.Documents {
    readonly board = board.createBoard();
    controller!: controllers.QuarantineController;
    private documents = new Map<string, gossip.Document>();
    private listeners: gossip.DocumentListener[] = [];

    constructor(readonly world: World, readonly onWorse: (fingerprint: string, verdict: quarantine.Verdict) => void) {
        world.nodes.push(this);
        this.start(new Map());
    }

    start(documents: Map<string, gossip.Document>): void {
        this.documents = documents;
        this.listeners = [];
        const clock = Object.assign(new clocks.VirtualClock(1), { wallTime: () => this.world.now });
        const { board: sections, onWorse } = this;
        const parts = { board: sections, documents: this, clock, journal: journal.silentJournal, onWorse };
        this.controller = new controllers.QuarantineController(parts);
    }

    restart(): void {
        this.start(new Map());
        this.readPeers();
        // The next round of anti-entropy brings what the peers did not know yet.
        this.world.after(GOSSIP_LIMIT, () => this.readPeers());
    }

    private readPeers(): void {
        const peers = this.world.nodes.filter(node => node !== this);
        for (let read = 0; read < SEED_PEERS; read++) {
            const [peer] = peers.splice(this.world.draw(peers.length), 1);
            peer.list("").forEach(document => this.receive(document));
        }
    }

    get(name: string): gossip.Document | undefined {
        return this.documents.get(name);
    }

    list(prefix: string): readonly gossip.Document[] {
        return [...this.documents.values()].filter(document => document.name.startsWith(prefix));
    }

    subscribe(_prefix: string, listener: gossip.DocumentListener): Disposable {
        this.listeners.push(listener);
        return { [Symbol.dispose]: () => undefined };
    }

    publish(document: gossip.Document): boolean {
        if (!this.receive(document)) {
            return false;
        }
        for (const node of this.world.nodes.filter(other => other !== this)) {
            this.world.after(1 + this.world.draw(GOSSIP_LIMIT - 1), () => node.receive(document));
        }
        return true;
    }

    private receive(document: gossip.Document): boolean {
        if ((this.documents.get(document.name)?.version ?? 0) >= document.version) {
            return false;
        }
        this.documents.set(document.name, document);
        this.listeners.forEach(listener => listener(document));
        return true;
    }
}

interface Work extends gates.Run {
    readonly duration: number;
    readonly answer: (ending: Ending) => void;
}

class Agent {
    readonly node: Node;
    readonly weight = 1;
    private gate!: gates.IsolationGate;
    private readonly works = new Map<string, Work>();
    private boot = 0;
    private engineUp = true;

    constructor(private readonly world: World, readonly id: string) {
        this.node = new Node(world, (fingerprint, verdict) => this.withdraw(fingerprint, verdict));
        this.openGate();
    }

    submit(work: Work): void {
        const allowed = decisions.atAgent(this.node.controller.decide(work.fingerprint), work.alone, work.fingerprint);
        if (!allowed.ok) {
            work.answer(allowed.failure.kind);
            return;
        }
        this.works.set(work.id, work);
        this.apply(this.gate.submit(work));
    }

    restartProcess(): void {
        const lost = [...this.works.values()];
        this.works.clear();
        this.openGate();
        this.node.restart();
        lost.forEach(work => work.answer("peer-connection-lost"));
    }

    private openGate(): void {
        this.gate = new gates.IsolationGate(fingerprint => this.node.controller.decide(fingerprint));
    }

    private apply(actions: gates.Actions): void {
        actions.refuse.forEach(run => this.answer(run.id, "request-quarantined"));
        actions.sendBack.forEach(run => this.answer(run.id, "request-suspected"));
        actions.start.forEach(run => this.begin(run));
        actions.withdraw.forEach(run => this.end(this.works.get(run.id) as Work, "suspect-withdrawn"));
    }

    private begin(run: gates.Run): void {
        const work = this.works.get(run.id) as Work;
        if (!this.engineUp) {
            const hold = work.alone ? GOSSIP_LIMIT : 0;
            this.world.after(hold, () => this.end(work, "engine-unreachable"));
            return;
        }
        const { boot } = this;
        this.world.after(work.duration, () => {
            if (this.works.get(work.id) !== work || this.boot !== boot) {
                return;
            }
            if (work.fingerprint === BAD) {
                this.crash();
                return;
            }
            if (this.gate.isTrial(work.id)) {
                this.node.controller.reportCompleted(work.fingerprint);
            }
            this.end(work, "done");
        });
    }

    private crash(): void {
        this.world.crashes.push(this.id);
        this.engineUp = false;
        const inFlight = [...this.works.keys()].filter(id => this.gate.isRunning(id));
        const report = this.gate.crash();
        this.node.controller.reportCrash({ server: this.id, boot: `${this.id}/${this.boot}`, ...report });
        this.boot++;
        for (const id of inFlight) {
            const { fingerprint } = this.works.get(id) as Work;
            this.answer(id, decisions.afterCrash(this.node.controller.decide(fingerprint), fingerprint).kind);
        }
        this.apply(this.gate.proceed());
        this.world.after(ENGINE_RESTART, () => {
            this.engineUp = true;
            this.apply(this.gate.proceed());
        });
    }

    private withdraw(fingerprint: string, verdict: quarantine.Verdict): void {
        const { kind } = decisions.withdrawal(verdict, fingerprint);
        this.gate.exposed(fingerprint).forEach(run => this.end(this.works.get(run.id) as Work, kind));
    }

    private end(work: Work, ending: Ending): void {
        if (this.works.get(work.id) === work) {
            this.apply(this.gate.finish(work.id));
            this.answer(work.id, ending);
        }
    }

    private answer(id: string, ending: Ending): void {
        const work = this.works.get(id);
        this.works.delete(id);
        work?.answer(ending);
    }
}

/** One request at one entry, with the continuation rule of the streams. */
class Request {
    outcome: Ending | undefined;
    private progress = continuation.initialProgress;

    constructor(
        private readonly world: World,
        private readonly entry: Node,
        private readonly agents: readonly Agent[],
        private readonly name: string,
        private readonly fingerprint: string,
        private readonly duration: number,
    ) {
        this.attempt();
    }

    private attempt(): void {
        const evidence = {
            loss: this.progress.lostConnection,
            agentDead: false,
            toldSuspect: this.progress.reportedSuspect,
        };
        const verdict = decisions.atEntry(this.entry.controller.decide(this.fingerprint), evidence);
        if (verdict === "refuse") {
            this.outcome = "request-quarantined";
            return;
        }
        const agent = verdict === "run-alone" ? this.trialAgent() : this.anyAgent();
        const id = `${this.name}/${this.progress.attempt}`;
        const answer = (ending: Ending) => this.world.after(1, () => this.take(agent, ending));
        const work = { id, fingerprint: this.fingerprint, alone: verdict === "run-alone", duration: this.duration };
        this.world.after(1 + this.world.draw(3), () => agent.submit({ ...work, answer }));
    }

    private anyAgent(): Agent {
        const allowed = this.agents.filter(agent => !this.progress.excluded.has(agent.id));
        const list = allowed.length === 0 ? this.agents : allowed;
        return list[this.world.draw(list.length)];
    }

    private trialAgent(): Agent {
        const { excluded, disconnected } = this.progress;
        const allowed = this.agents.filter(agent => !excluded.has(agent.id) || disconnected.has(agent.id));
        const suspect = this.entry.board.read("suspects").get(this.fingerprint);
        return trialServers.rank(this.fingerprint, suspect, allowed.length === 0 ? this.agents : allowed)[0];
    }

    private take(agent: Agent, ending: Ending): void {
        if (ending === "done") {
            this.outcome = "done";
            return;
        }
        const trace = { server: agent.id, sent: true, running: false, promptTokens: 0, cachedTokens: 0 };
        const end = { kind: "failed", failure: { kind: ending, detail: "" } } as const;
        const limits = { maximumRetries: ATTEMPT_LIMIT, takeRetry: () => true };
        const next = continuation.decide(this.progress, trace, end, 0, limits);
        if (next.kind === "next-attempt") {
            this.progress = next.progress;
            this.attempt();
            return;
        }
        const result: types.Result = next.result;
        this.outcome = result.ok ? "done" : result.failure.failure.kind;
    }
}

function play(schedule: Schedule) {
    const world = new World(schedule);
    const agents = Array.from({ length: schedule.servers }, (_, index) => new Agent(world, `s${index}`));
    const entries = Array.from({ length: schedule.entries }, () => new Node(world, () => undefined));
    const innocents: Request[] = [];
    const bad: Request[] = [];
    const send = (list: Request[], entry: number, fingerprint: string, duration: number) => {
        const name = `${fingerprint}-${list.length}`;
        list.push(new Request(world, entries[entry % entries.length], agents, name, fingerprint, duration));
    };
    schedule.innocents.forEach(({ at, duration }, index) =>
        world.after(at, () => send(innocents, index, `innocent${index}`, duration))
    );
    world.after(schedule.badAt, () => send(bad, 0, BAD, schedule.badDuration));
    schedule.agentRestarts.forEach(({ at, server }) =>
        world.after(at, () => agents[server % agents.length].restartProcess())
    );
    const copies = () => {
        if (world.crashes.length === 0) {
            world.after(1, copies);
            return;
        }
        schedule.copies.forEach((delay, index) =>
            world.after(delay, () => send(bad, index + 1, BAD, schedule.copyDuration))
        );
    };
    world.after(0, copies);
    world.run();
    return { crashes: world.crashes, innocents, bad };
}

const time = fastCheck.integer({ min: 0, max: 80 });
const duration = fastCheck.integer({ min: 1, max: 30 });

function schedules(copyDelay: fastCheck.Arbitrary<number>, copyDuration: fastCheck.Arbitrary<number>) {
    return fastCheck.record({
        servers: fastCheck.integer({ min: 3, max: 6 }),
        entries: fastCheck.integer({ min: 2, max: 4 }),
        innocents: fastCheck.array(fastCheck.record({ at: time, duration }), { maxLength: 8 }),
        badAt: fastCheck.integer({ min: 0, max: 20 }),
        badDuration: fastCheck.integer({ min: 1, max: 15 }),
        copies: fastCheck.array(copyDelay, { maxLength: 6 }),
        copyDuration,
        agentRestarts: fastCheck.array(fastCheck.record({ at: time, server: fastCheck.nat(5) }), { maxLength: 3 }),
        randomness: fastCheck.array(fastCheck.nat(1000), { minLength: 5, maxLength: 20 }),
    });
}

function check(schedule: Schedule): void {
    const seen = play(schedule);
    assert.ok(seen.crashes.length <= 2, `crashed: ${seen.crashes.join(", ")}`);
    assert.deepEqual(seen.innocents.map(request => request.outcome), seen.innocents.map(() => "done"));
    assert.ok(seen.bad.every(request => request.outcome === "request-quarantined"));
}

/** Found with seed 3000: the agent of the trial restarts before its crash report reaches another process. */
const RESTART_AFTER_TRIAL: Schedule = {
    servers: 4,
    entries: 2,
    innocents: [],
    badAt: 9,
    badDuration: 8,
    copies: [10],
    copyDuration: 1,
    agentRestarts: [{ at: 32, server: 0 }, { at: 0, server: 0 }],
    randomness: [0, 0, 0, 801, 860, 0, 0, 4, 0, 0],
};

testing.test("quarantine: at most two servers crash and no innocent request is refused when a known suspect returns", () => {
    const copyDelay = fastCheck.integer({ min: GOSSIP_LIMIT, max: GOSSIP_LIMIT + 30 });
    const copyDuration = fastCheck.integer({ min: 1, max: 15 });
    const options = { seed: SEED, numRuns: 2000, examples: [[RESTART_AFTER_TRIAL] as [Schedule]] };
    fastCheck.assert(fastCheck.property(schedules(copyDelay, copyDuration), check), options);
});

testing.test("quarantine: copies that start before the suspicion spreads are withdrawn and no third server crashes", () => {
    const copyDelay = fastCheck.integer({ min: 0, max: GOSSIP_LIMIT });
    // Longer than the spreading of a document; a copy that crashes its server sooner is the window that remains.
    const copyDuration = fastCheck.integer({ min: GOSSIP_LIMIT + 1, max: 40 });
    fastCheck.assert(fastCheck.property(schedules(copyDelay, copyDuration), check), { seed: SEED + 1, numRuns: 2000 });
});
