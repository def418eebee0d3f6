/** Guards against unbounded buffering and against duplicates that replace or hide events. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as sequencer from "../../src/streams/sequencer.js";
import type * as types from "../../src/streams/types.js";

function token(sequence: number, text = `t${sequence}`): types.StreamEvent {
    return { requestId: "r", attempt: 1, sequence, body: { type: "token", index: sequence, text } };
}

function acceptAll(events: readonly types.StreamEvent[]) {
    let state = sequencer.initialState("r", 1, 0);
    const steps: sequencer.Step[] = [];
    for (const event of events) {
        const transition = sequencer.accept(state, event);
        state = transition.state;
        steps.push(...transition.steps);
    }
    const texts = steps.flatMap(step => step.kind === "deliver" && step.body.type === "token" ? [step.body.text] : []);
    return { state, steps, texts };
}

testing.test("sequencer: duplicates of delivered events are never buffered", () => {
    const result = acceptAll([token(0), ...Array.from({ length: 200 }, () => token(0)), token(1)]);
    assert.deepEqual(result.texts, ["t0", "t1"]);
    assert.equal(result.state.outOfOrder.size, 0);
});

testing.test("sequencer: of two different events with the same sequence number, the first is delivered", () => {
    assert.deepEqual(acceptAll([token(1, "first"), token(1, "second"), token(0)]).texts, ["t0", "first"]);
});

testing.test("sequencer: an attempt whose first event is lost fails instead of buffering without bound", () => {
    const result = acceptAll(Array.from({ length: 200 }, (_, index) => token(index + 1)));
    assert.deepEqual(result.texts, []);
    assert.equal(result.steps.filter(step => step.kind === "violation").length, 1);
    assert.equal(result.state.outOfOrder.size, 0);
});
