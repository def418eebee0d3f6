/** Guards against calls and cached parts outside their home regions. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as cachePlans from "../../src/placement/cache-plan.js";
import * as homes from "../../src/placement/homes.js";

const REGIONS = new Map([["one", "north"], ["two", "south"], ["three", "a,b"]]);

testing.test("lists of route and customer both bind, and an empty one does not", () => {
    const includes = (...lists: readonly (readonly string[] | undefined)[]) => {
        const combined = homes.homesOf(lists, REGIONS);
        return combined && ["one", "two", "three", "unknown"].filter(combined.includes);
    };
    assert.equal(includes(undefined, []), undefined);
    assert.deepEqual(includes(["north", "south"], undefined), ["one", "two"]);
    assert.deepEqual(includes(["north", "south"], ["south", "east"]), ["two"]);
    assert.deepEqual(includes(["north"], ["south"]), []);
    assert.deepEqual(includes([""], []), []);
});

testing.test("cached parts have a scope of their own, the same for equal regions only", () => {
    const scope = (...names: readonly string[]) => {
        return cachePlans.cacheScope("menu", 3, undefined, homes.homesOf([names], REGIONS));
    };
    assert.equal(scope(), "menu/3");
    assert.equal(scope("north", "south"), scope("south", "north"));
    assert.equal(new Set([scope(), scope("north"), scope("south"), scope("a,b"), scope("a", "b")]).size, 5);
    assert.match(scope("\u{1F34E} nord/@\n"), /^[\x21-\x7e]+$/);
});
