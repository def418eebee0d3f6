/** Guards against responses that clients cannot parse, and prompts that lose common prefixes or confuse messages. */
import * as protobuf from "@bufbuild/protobuf";
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as failureCodec from "../../src/rpc/failure-codec.js";
import * as agent from "../../src/rpc/gen/ibisstep/v1/agent_pb.js";
import * as chat from "../../src/streams/chat-request.js";
import * as eventCodec from "../../src/streams/event-codec.js";
import * as openai from "../../src/streams/openai.js";
import type * as types from "../../src/streams/types.js";

const SEED = 33;
const METADATA: openai.ResponseMetadata = { requestId: "r1", model: "menu", created: 1 };
const COMPLETION: types.Completion = {
    count: 2,
    reason: "stop",
    promptTokens: 7,
    cachedTokens: 4,
    attempts: 1,
    server: "s",
};

const role = fastCheck.constantFrom("system", "user", "assistant");
// Strings that often contain parts of the delimiters.
const text = fastCheck.array(fastCheck.constantFrom("<", "|", "\\", "|>", "<|end|>\n", "<|user|>\n", "a", "\n"), {
    maxLength: 8,
}).map(parts => parts.join(""));
const message = fastCheck.record({ role, content: text }, { noNullPrototype: true });
const conversation = fastCheck.array(message, { minLength: 1, maxLength: 4 });

/** Parses the messages of a prompt, which works only if no text can be mistaken for a delimiter. */
function parsePrompt(prompt: string): readonly chat.Message[] {
    const turns = prompt.matchAll(/<\|(system|user|assistant)\|>\n([^]*?)<\|end\|>\n/g);
    return [...turns].map(turn => ({
        role: turn[1] as chat.Message["role"],
        content: turn[2].replaceAll(/(<\\*)\\\|/g, "$1|"),
    }));
}

testing.test("chat prompt: the messages can be parsed back, even if their text contains delimiters", () => {
    fastCheck.assert(
        fastCheck.property(
            conversation,
            messages => assert.deepEqual(parsePrompt(chat.renderPrompt(messages)), messages),
        ),
        { seed: SEED, numRuns: 1000 },
    );
});

testing.test("chat prompt: conversations with a common prefix have a common prompt up to the first difference", () => {
    fastCheck.assert(
        fastCheck.property(conversation, text, text, text, (shared, prefix, left, right) => {
            const last = (suffix: string) => ({ role: "user" as const, content: `${prefix}X${suffix}` });
            const one = chat.renderPrompt([...shared, last(left)]);
            const other = chat.renderPrompt([...shared, last(right)]);
            const common = chat.renderPrompt([...shared, last("")]).lastIndexOf("X") + 1;
            assert.equal(one.slice(0, common), other.slice(0, common));
        }),
        { seed: SEED },
    );
});

testing.test("chat request: text parts equal a string, unknown fields are ignored, the newer limit takes precedence", () => {
    const parts = [{ type: "text", text: "a" }, { type: "text", text: "b" }];
    const body = { model: "m", messages: [{ role: "user", content: parts }], temperature: 1, max_tokens: 5 };
    assert.deepEqual(chat.parse({ ...body, max_completion_tokens: 3 }), {
        ok: true,
        value: {
            model: "m",
            messages: [{ role: "user", content: "ab", name: undefined }],
            stream: false,
            maxTokens: 3,
        },
    });
});

testing.test("chat request: an error names the field and does not contain the text", () => {
    const secret = "customer text";
    const detail = (body: unknown) => {
        const parsed = chat.parse(body);
        assert.equal(!parsed.ok && parsed.failure.kind, "chat-request-invalid");
        return parsed.ok ? "" : parsed.failure.detail;
    };
    const image = { role: "user", content: [{ type: "image_url", url: secret }] };
    assert.match(detail({ model: "m", messages: [image] }), /messages\[0\]/);
    assert.match(detail({ model: "m", messages: [] }), /messages/);
    assert.match(detail({ messages: [{ role: "user", content: "" }], max_tokens: 0 }), /model.*max_tokens/);
    assert.match(detail({ model: "m", messages: [{ role: "user", content: "" }], n: 2 }), /n: only one choice/);
    assert.match(detail(secret), /\(body\)/);
    assert.doesNotMatch(detail({ model: "m", messages: [image] }) + detail(secret), new RegExp(secret));
});

testing.test("chat response: only a complete stream ends with [DONE]; a failure ends with a typed error event", () => {
    const complete = openai.endOfStream(METADATA, { ok: true, value: COMPLETION });
    assert.ok(complete.endsWith("data: [DONE]\n\n"));
    const final = JSON.parse(complete.split("\n")[0].slice("data: ".length));
    assert.equal(final.choices[0].finish_reason, "stop");
    assert.deepEqual([final.usage.prompt_tokens, final.usage.completion_tokens], [7, 2]);
    const failure = { kind: "stream-interrupted", detail: "", retryAfterMs: 1.5 } as const;
    const failed = openai.endOfStream(METADATA, {
        ok: false,
        failure: { failure, execution: "unknown", delivered: 1, attempts: 2 },
    });
    assert.doesNotMatch(failed, /DONE/);
    const { error } = JSON.parse(failed.slice("data: ".length));
    assert.deepEqual([error.code, error.type, error.retry_after_ms], ["stream-interrupted", "server_error", 2]);
    assert.doesNotMatch(openai.encodeEvent(openai.tokenChunk(METADATA, "t")), /finish_reason/);
});

testing.test("stream events: encoding preserves them; unknown failures and end reasons are not decoded as success", () => {
    const load = { queuedTokens: 5, running: 1, waiting: 2 };
    const bodies: readonly types.EventBody[] = [
        { type: "started", promptTokens: 1, cachedTokens: 2, engineBoot: "b", load },
        { type: "token", index: 3, text: "é" },
        { type: "ended", count: 4, reason: "length", load },
        { type: "failed", failure: { kind: "engine-refused", detail: "d", retryAfterMs: 5 } },
        { type: "redirected", betterAddress: "a", load },
    ];
    const roundTrip = (message: agent.GenerateEvent) => {
        const bytes = protobuf.toBinary(agent.GenerateEventSchema, message);
        return eventCodec.decode(protobuf.fromBinary(agent.GenerateEventSchema, bytes));
    };
    for (const body of bodies) {
        const event: types.StreamEvent = { requestId: "r", attempt: 2, sequence: 9, body };
        assert.deepEqual(roundTrip(eventCodec.encode(event, 7)), event);
    }
    const unknown = failureCodec.decode(
        protobuf.create(agent.GenerateEventSchema, { event: { case: "failed", value: { kind: "new", detail: "d" } } })
            .event.value as never,
    );
    assert.equal(unknown.kind, "internal-error");
    const endWithUnknownReason = { count: 1, reason: "cancelled" };
    const unknownEnd = protobuf.create(agent.GenerateEventSchema, {
        event: { case: "ended", value: endWithUnknownReason },
    });
    assert.equal(eventCodec.decode(unknownEnd), undefined);
});

// Text without escaping, or inserted at the wrong position of the precomputed event, corrupts the client's stream.
testing.test("chat response: the token encoder produces the same event as encoding each token chunk", () => {
    const metadataRecords = fastCheck.record({
        requestId: fastCheck.string(),
        model: fastCheck.string(),
        created: fastCheck.nat(),
    });
    fastCheck.assert(
        fastCheck.property(metadataRecords, fastCheck.string({ unit: "binary" }), (metadata, content) => {
            assert.equal(
                openai.tokenEncoder(metadata)(content),
                openai.encodeEvent(openai.tokenChunk(metadata, content)),
            );
        }),
        { seed: SEED, numRuns: 300 },
    );
});
