/** Guards against work that starts on a server which a newer configuration has removed. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as gates from "../../src/agent/gate.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import * as manifest from "../../src/manifest/types.js";

testing.test("gate: a call is refused when the configuration that it brings removes the server", async () => {
    let isLeaving = false;
    const gate = new gates.Gate({
        board: boards.createBoard(),
        checkNewWork: () => isLeaving ? outcomes.fail("server-leaving", "") : outcomes.succeed(undefined),
        require: async version => {
            isLeaving = true;
            return outcomes.succeed({ ...manifest.emptyConfiguration, version });
        },
    });
    const passed = await gate.pass({ customer: "", manifestVersion: 2, caller: "" });
    assert.equal(!passed.ok && passed.failure.kind, "server-leaving");
});
