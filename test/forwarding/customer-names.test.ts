/** Guards against customers whose name fits in no header, and whose calls take their service away from all others. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import type * as fleet from "../../src/fleet/types.js";
import * as harnesses from "../support/entry-harness.js";

const CALLS = 20;

testing.test("a customer whose name is not in Latin-1 is served, and its service stays served", async () => {
    const names: string[] = [];
    await using harness = await harnesses.EntryHarness.start([(socket, { id, head }) => {
        names.push(Buffer.from(/^tenant: (.*)$/im.exec(head)?.[1] ?? "", "latin1").toString("utf8"));
        socket.write(harnesses.response(id, "answer"));
    }]);
    const customers = ["Őrség", "東京", "plain"].map((name, index): fleet.Customer => ({
        name,
        keys: [`key-${index}`],
        isolated: index === 0,
        priority: undefined,
        rateUnit: "calls",
        tokensPerSecond: 0,
        burstTokens: 0,
        defaultCallTokens: 1,
    }));
    const { configuration } = harness.view.routingTable!;
    harness.view.applyConfiguration({ ...configuration, version: 2, customers });
    for (let call = 0; call < CALLS; call++) {
        const index = call % customers.length;
        const headers = { Authorization: `Bearer key-${index}`, Model: "menu", "Prompt-Prefix": "a:10,b:10" };
        const result = await harness.call("lookup", { headers });
        assert.equal(result.status, 200, result.body);
        assert.equal(names.at(-1), customers[index]!.name);
    }
    assert.deepEqual(harness.serverLoad.snapshot(), {}, "no call counts at a server");
});
