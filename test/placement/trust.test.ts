/** Guards against servers that are used although they fail, and against servers that never come back into use. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as trusts from "../../src/placement/trust.js";

testing.test("a server that can't be reached is out of use for growing times, and back after an answer", () => {
    const trust = new trusts.ServerTrust();
    assert.equal(trust.unreachable("a", 0), 250);
    assert.equal(trust.isSuspected("a", 200), true);
    assert.equal(trust.isSuspected("a", 260), false);
    assert.equal(trust.unreachable("a", 300), 500);
    trust.answered("a", false, 900);
    assert.equal(trust.unreachable("a", 1000), 250);
});

testing.test("guards against calls in flight that each prolong the time out of use", () => {
    const trust = new trusts.ServerTrust();
    trust.unreachable("a", 0);
    for (let call = 0; call < 50; call++) {
        trust.unreachable("a", 10);
    }
    assert.equal(trust.isSuspected("a", 251), false);
});

testing.test("a share of failures fades, so that the server is tried again", () => {
    const trust = new trusts.ServerTrust();
    for (let call = 0; call < 20; call++) {
        trust.answered("a", true, call);
    }
    const share = trust.failureShare("a", 20);
    assert.ok(share > 0.9);
    assert.ok(trust.failureShare("a", 4020) < share * 0.55);
});
