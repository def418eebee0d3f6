/** Guards against waits and refusals that an operator does not see. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as meters from "../../src/runtime/meter.js";

testing.test("waits are counted by reason and end, and the delays of refused callers are recorded", async () => {
    const meter = new meters.Meter();
    await meter.load();
    meter.waited("desk", "all-full", "placed", 40);
    meter.waited("desk", "all-full", "refused", 900);
    meter.waited("desk", "all-full", "refused", 900);
    meter.retryAdvised("no-server-available", 120);
    const rendered = meter.render().split("\n");
    assert.ok(rendered.includes('ibisstep_waits_total{service="desk",reason="all-full",end="placed"} 1'));
    assert.ok(rendered.includes('ibisstep_waits_total{service="desk",reason="all-full",end="refused"} 2'));
    assert.ok(rendered.includes('ibisstep_wait_ms_count{service="desk",reason="all-full"} 3'));
    assert.ok(rendered.includes('ibisstep_retry_after_ms{failure="no-server-available",quantile="0.5"} 120'));
});
