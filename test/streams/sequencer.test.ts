/** Guards against unbounded buffers of an attempt and against duplicates that replace or hide events. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as sequencer from "../../src/streams/sequencer.js";
import type * as types from "../../src/streams/types.js";

function token(sequence: number, text = `t${sequence}`): types.StreamEvent {
    return { requestId: "r", attempt: 1, sequence, body: { type: "token", index: sequence, text } };
}

function play(events: readonly types.StreamEvent[]) {
    let state = sequencer.begin("r", 1, 0);
    const steps: sequencer.Step[] = [];
    for (const event of events) {
        const accepted = sequencer.accept(state, event);
        state = accepted.state;
        steps.push(...accepted.steps);
    }
    const texts = steps.flatMap(step => step.kind === "deliver" && step.body.type === "token" ? [step.body.text] : []);
    return { state, steps, texts };
}

testing.test("sequencer: any number of duplicates of old events leaves the buffer empty", () => {
    const played = play([token(0), ...Array.from({ length: 200 }, () => token(0)), token(1)]);
    assert.deepEqual(played.texts, ["t0", "t1"]);
    assert.equal(played.state.early.size, 0);
});

testing.test("sequencer: the first of two different events with one number counts", () => {
    assert.deepEqual(play([token(1, "first"), token(1, "second"), token(0)]).texts, ["t0", "first"]);
});

testing.test("sequencer: an attempt whose first event is lost is given up instead of buffered without end", () => {
    const played = play(Array.from({ length: 200 }, (_, index) => token(index + 1)));
    assert.deepEqual(played.texts, []);
    assert.equal(played.steps.filter(step => step.kind === "violation").length, 1);
    assert.equal(played.state.early.size, 0);
});
