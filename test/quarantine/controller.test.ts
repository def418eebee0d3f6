/** Guards against crash reports that are lost when agents report concurrently, restart or drop expired records. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as boards from "../../src/daemon/board.js";
import type * as gossip from "../../src/gossip/types.js";
import * as journal from "../../src/logging/journal.js";
import * as controllers from "../../src/quarantine/controller.js";
import * as records from "../../src/quarantine/record.js";
import * as clocks from "../support/virtual-clock.js";

class MemoryDocuments implements gossip.Documents {
    readonly documents = new Map<string, gossip.Document>();
    private readonly listeners: gossip.DocumentListener[] = [];

    get(name: string) {
        return this.documents.get(name);
    }

    list(prefix: string) {
        return [...this.documents.values()].filter(document => document.name.startsWith(prefix));
    }

    publish(document: gossip.Document) {
        if ((this.documents.get(document.name)?.version ?? 0) >= document.version) {
            return false;
        }
        this.documents.set(document.name, document);
        this.listeners.forEach(listener => listener(document));
        return true;
    }

    subscribe(_prefix: string, listener: gossip.DocumentListener): Disposable {
        this.listeners.push(listener);
        return { [Symbol.dispose]: () => undefined };
    }
}

function start(documents: MemoryDocuments, wall = { time: 0 }) {
    const board = boards.createBoard();
    const clock = Object.assign(new clocks.VirtualClock(1), { wallTime: () => wall.time });
    const parts = { board, documents, clock, journal: journal.silentJournal };
    return { board, wall, controller: new controllers.QuarantineController(parts) };
}

const CRASH = { server: "s1", boot: "b1", inFlight: ["f"], trial: false };

testing.test("quarantine controller: two crashes reported concurrently reach all processes", () => {
    const left = new MemoryDocuments();
    const right = new MemoryDocuments();
    const one = start(left);
    const other = start(right);
    one.controller.reportCrash(CRASH);
    other.controller.reportCrash({ ...CRASH, server: "s2", boot: "b2" });
    for (let round = 0; round < 3; round++) {
        left.list("").forEach(document => right.publish(document));
        right.list("").forEach(document => left.publish(document));
    }
    assert.equal(one.board.read("suspects").get("f")?.crashes, 2);
    assert.deepEqual(other.board.read("suspects").get("f")?.servers, ["s1", "s2"]);
    assert.deepEqual(left.documents, right.documents);
});

testing.test("quarantine controller: a restarted process refuses a quarantined request at once", () => {
    const documents = new MemoryDocuments();
    const before = start(documents);
    before.controller.reportCrash(CRASH);
    before.controller.reportCrash({ ...CRASH, boot: "b2", trial: true });
    assert.equal(start(documents).controller.decide("f"), "refuse");
});

testing.test("quarantine controller: a suspect whose record had expired is published again after a new crash", async () => {
    const documents = new MemoryDocuments();
    const first = start(documents);
    first.controller.reportCrash(CRASH);
    first.controller.reportCompleted("f");
    assert.equal(first.controller.decide("f"), "run");
    first.wall.time = records.SUSPECT_DURATION_MS;
    await first.controller.step();
    first.controller.reportCrash({ ...CRASH, boot: "b2" });
    assert.equal(start(documents, first.wall).controller.decide("f"), "run-alone");
});
