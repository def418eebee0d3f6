/** Guards against work that starts on a server that a newer configuration has removed. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as guards from "../../src/agent/request-guard.js";
import * as outcomes from "../../src/core/outcome.js";
import * as boards from "../../src/daemon/board.js";
import * as manifest from "../../src/manifest/types.js";

testing.test("request guard: a call is refused when the configuration fetched for it removes the server", async () => {
    let isLeaving = false;
    const guard = new guards.RequestGuard({
        board: boards.createBoard(),
        checkNewWork: () => isLeaving ? outcomes.fail("server-leaving", "") : outcomes.succeed(undefined),
        fetchConfiguration: async version => {
            isLeaving = true;
            return outcomes.succeed({ ...manifest.emptyConfiguration, version });
        },
    });
    const result = await guard.check({ customer: "", manifestVersion: 2, callerAddress: "" });
    assert.equal(!result.ok && result.failure.kind, "server-leaving");
});
