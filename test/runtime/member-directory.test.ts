/** Guards against processes that later ones do not find, since the store has lost their records. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import * as outcomes from "../../src/core/outcome.js";
import * as journals from "../../src/logging/journal.js";
import * as memberTables from "../../src/peering/member-table.js";
import type * as peering from "../../src/peering/types.js";
import * as directories from "../../src/runtime/member-directory.js";
import type * as runtime from "../../src/runtime/types.js";
import type * as storeAccess from "../../src/store-access/types.js";

function member(name: string): peering.Member {
    const address = "127.0.0.1:1";
    return {
        name,
        role: "entry",
        dataCentre: "one",
        beatAddress: address,
        documentAddress: address,
        serverAddress: undefined,
    };
}

function storeOf(records: Map<string, unknown>): Pick<runtime.Platform, "store" | "kinds"> {
    const list = () => {
        const stored = [...records].map(([name, spec]) => ({ name, revision: 1, spec, isDeleting: false }));
        return Promise.resolve(outcomes.succeed({ era: 1, revision: 1, records: stored }));
    };
    const put: storeAccess.RecordStore["put"] = async (_kind, name, spec) => {
        await new Promise(resolve => setImmediate(resolve));
        records.set(name, spec);
        return outcomes.succeed(undefined);
    };
    const unused = () => Promise.resolve(outcomes.fail("store-unavailable", "not used"));
    return {
        store: { list, watch: unused, put, putStatus: unused },
        kinds: {
            configuration: "",
            servers: "",
            weights: "",
            members: "members",
            suspects: "",
            rollouts: "",
            evacuations: "",
        },
    };
}

testing.test("restored store: a process registers again, and adds those that it finds", async () => {
    const records = new Map<string, unknown>();
    const members = new memberTables.MemberTable("self");
    using directory = new directories.MemberDirectory(member("self"), {
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        platform: storeOf(records),
        members,
    });
    await directory.register();
    assert.deepEqual([...records.keys()], ["self"]);
    records.clear();
    records.set("other", member("other"));
    await directory.register();
    assert.deepEqual([...records.keys()], ["other", "self"]);
    assert.deepEqual(members.peers().map(({ name }) => name), ["other"]);
});

testing.test("restored store: guards against a loss that is forgotten during a registration", async () => {
    const records = new Map<string, unknown>();
    using directory = new directories.MemberDirectory(member("self"), {
        clock: clocks.systemClock,
        journal: journals.silentJournal,
        platform: storeOf(records),
        members: new memberTables.MemberTable("self"),
    });
    const first = directory.register();
    await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
    records.clear();
    await Promise.all([directory.register(), first]);
    assert.deepEqual([...records.keys()], ["self"]);
});
