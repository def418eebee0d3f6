/** Guards against unexpected errors that end a process, and against a process that goes on without its addresses. */
import * as assert from "node:assert/strict";
import * as events from "node:events";
import * as testing from "node:test";
import type * as event from "../../src/core/event.js";
import * as faultIsolation from "../../src/runtime/fault-isolation.js";

function isolated() {
    const exits: number[] = [];
    const logged: event.EventName[] = [];
    const source = Object.assign(new events.EventEmitter(), { exit: (code: number) => void exits.push(code) });
    faultIsolation.isolateErrors(source, { emit: name => void logged.push(name) });
    return { source, exits, logged };
}

testing.test("errors and rejections that nobody handles are logged, and the process goes on", () => {
    const { source, exits, logged } = isolated();
    source.emit("uncaughtException", new Error("unexpected"));
    source.emit("unhandledRejection", "no error at all");
    source.emit("unhandledRejection", undefined);
    assert.deepEqual([logged, exits], [["internal-error", "internal-error", "internal-error"], []]);
});

testing.test("a process that cannot listen on its addresses ends, so that the platform restarts it", () => {
    const { source, exits, logged } = isolated();
    source.emit("uncaughtException", Object.assign(new Error("in use"), { code: "EADDRINUSE" }));
    assert.deepEqual([logged, exits], [["internal-error"], [1]]);
});
