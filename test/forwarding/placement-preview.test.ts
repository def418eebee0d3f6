/** Guards against an explanation of a placement that differs from the placement, or that leaves traces. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as previews from "../../src/forwarding/placement-preview.js";
import * as harnesses from "../support/entry-harness.js";

const CUSTOMER = {
    name: "desk",
    keys: ["key"],
    priority: undefined,
    isolated: false,
    rateUnit: "calls" as const,
    tokensPerSecond: 0,
    burstTokens: 0,
    defaultCallTokens: 1,
};
const CAPABILITIES = { placementConstraints: true, contendedServers: true };

function question(text: string): previews.PreviewedCall {
    return previews.decode(new URLSearchParams(text));
}

testing.test("the call goes to the server that the explanation names first, and the others have their reason", async () => {
    const served: string[] = [];
    const scripts = ["one", "two", "three"].map((name): harnesses.ServerScript => (socket, { id }) => {
        served.push(name);
        socket.write(harnesses.response(id, "answer"));
    });
    const dataCentres = ["one", "two", "three"];
    await using harness = await harnesses.EntryHarness.start(scripts, { capabilities: CAPABILITIES, dataCentres });
    harness.evacuations.adopt({ dataCentres: ["one"], unreadable: [] });
    const preview = previews.preview(harness.callPorts, question(`host=${harnesses.HOST}&path=/lookup/x&id=call`));
    assert.ok(preview.kind === "assessed", JSON.stringify(preview));
    assert.equal(preview.route, "lookup");
    assert.deepEqual(preview.servers.at(-1)?.excludedBy, "all-evacuated");
    assert.equal(preview.servers.at(-1)?.dataCentre, "one");
    assert.deepEqual(served, []);
    assert.equal((await harness.call("lookup", { id: "call" })).status, 200);
    assert.notEqual(served[0], "one");
    assert.deepEqual(
        previews.preview(harness.callPorts, question(`host=${harnesses.HOST}&path=/lookup/x&id=call`)),
        preview,
    );
});

testing.test("a call that would be refused is explained by the reason", async () => {
    await using harness = await harnesses.EntryHarness.start([], { customers: [CUSTOMER] });
    const reasonOf = (text: string) => {
        const preview = previews.preview(harness.callPorts, question(text));
        return preview.kind === "refused" ? preview.reason : preview.kind;
    };
    assert.match(reasonOf("host=elsewhere&path=/lookup/x"), /no route/);
    assert.match(reasonOf(`host=${harnesses.HOST}&path=/lookup/x`), /key/);
    assert.match(reasonOf(`host=${harnesses.HOST}&path=/lookup/x&customer=nobody`), /no customer/);
    assert.equal(reasonOf(`host=${harnesses.HOST}&path=/lookup/x&customer=desk`), "assessed");
});

testing.test("guards against a question whose figures cannot be read", () => {
    const { head } = question("tokens=many,-3&parts=a:x,,b:12");
    assert.deepEqual([head.promptTokens, head.maximumOutputTokens], [0, 0]);
    assert.deepEqual(head.parts, [{ id: "a", tokens: 0 }, { id: "b", tokens: 12 }]);
});
