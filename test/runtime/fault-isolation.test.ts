/** Guards against unexpected errors that end a process. */
import * as assert from "node:assert/strict";
import * as events from "node:events";
import * as testing from "node:test";
import type * as event from "../../src/core/event.js";
import * as faultIsolation from "../../src/runtime/fault-isolation.js";

testing.test("errors and rejections that nobody handles are logged, and the process goes on", () => {
    const logged: event.EventName[] = [];
    const source = new events.EventEmitter();
    faultIsolation.isolateErrors(source, { emit: name => void logged.push(name) });
    const errors = [
        new Error("unexpected"),
        "no error at all",
        undefined,
        // An outgoing connection has the same codes as a socket that cannot listen.
        ...["EADDRINUSE", "EADDRNOTAVAIL", "EACCES"].map(code => Object.assign(new Error(code), { code })),
    ];
    errors.forEach((error, index) => {
        source.emit(index % 2 === 0 ? "uncaughtException" : "unhandledRejection", error);
    });
    assert.deepEqual(logged, errors.map(() => "internal-error"));
});
