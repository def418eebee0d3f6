/** Guards against wrong costs per unit in `docs/CAPACITY.md`. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as measures from "../../tools/capacity/measure.js";

testing.test("capacity: guards against a slope that counts the fixed cost as a cost per unit", () => {
    const points = [100, 400, 1210].map(size => ({ size, value: 50 + 3 * size }));
    const line = measures.fitSlope("name", "bytes / members", points);
    assert.ok(Math.abs(line.perUnit - 3) < 1e-9);
    assert.ok(Math.abs(line.fixed - 50) < 1e-6);
});

testing.test("capacity: guards against a slope that follows the last point instead of all points", () => {
    const line = measures.fitSlope("name", "bytes / members", [
        { size: 1, value: 1 },
        { size: 2, value: 5 },
        { size: 3, value: 3 },
    ]);
    assert.ok(Math.abs(line.perUnit - 1) < 1e-9);
    assert.ok(Math.abs(line.fixed - 1) < 1e-9);
});
