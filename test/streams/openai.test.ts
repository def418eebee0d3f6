/** Guards against responses that clients cannot read, and prompts that lose shared beginnings or mix up messages. */
import * as protobuf from "@bufbuild/protobuf";
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as failureCodec from "../../src/rpc/failure-codec.js";
import * as agent from "../../src/rpc/gen/ibisstep/v1/agent_pb.js";
import * as chat from "../../src/streams/chat-request.js";
import * as messages from "../../src/streams/messages.js";
import * as openai from "../../src/streams/openai.js";
import type * as types from "../../src/streams/types.js";

const SEED = 33;
const HEADER: openai.AnswerHeader = { requestId: "r1", model: "menu", created: 1 };
const COMPLETION: types.Completion = {
    count: 2,
    reason: "stop",
    promptTokens: 7,
    cachedTokens: 4,
    attempts: 1,
    server: "s",
};

const role = fastCheck.constantFrom("system", "user", "assistant");
// Texts that are likely to contain parts of the delimiters.
const text = fastCheck.array(fastCheck.constantFrom("<", "|", "\\", "|>", "<|end|>\n", "<|user|>\n", "a", "\n"), {
    maxLength: 8,
}).map(parts => parts.join(""));
const message = fastCheck.record({ role, content: text }, { noNullPrototype: true });
const conversation = fastCheck.array(message, { minLength: 1, maxLength: 4 });

/** Reads the messages back from a prompt; possible only when no text can be taken for a delimiter. */
function decode(prompt: string): readonly chat.Message[] {
    const turns = prompt.matchAll(/<\|(system|user|assistant)\|>\n([^]*?)<\|end\|>\n/g);
    return [...turns].map(turn => ({
        role: turn[1] as chat.Message["role"],
        content: turn[2].replaceAll(/(<\\*)\\\|/g, "$1|"),
    }));
}

testing.test("chat prompt: the messages can be read back, also when their text forges delimiters", () => {
    fastCheck.assert(
        fastCheck.property(conversation, list => assert.deepEqual(decode(chat.prompt(list)), list)),
        { seed: SEED, numRuns: 1000 },
    );
});

testing.test("chat prompt: messages that share a beginning share it in the prompt up to the first difference", () => {
    fastCheck.assert(
        fastCheck.property(conversation, text, text, text, (shared, beginning, left, right) => {
            const last = (rest: string) => ({ role: "user" as const, content: `${beginning}X${rest}` });
            const one = chat.prompt([...shared, last(left)]);
            const other = chat.prompt([...shared, last(right)]);
            const common = chat.prompt([...shared, last("")]).lastIndexOf("X") + 1;
            assert.equal(one.slice(0, common), other.slice(0, common));
        }),
        { seed: SEED },
    );
});

testing.test("chat request: text parts equal a string, unknown fields are ignored, the newer limit wins", () => {
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

testing.test("chat request: an error names the field and does not quote the text", () => {
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

testing.test("chat answer: only a complete stream ends with [DONE]; a failure ends with a typed error event", () => {
    const complete = openai.endOfStream(HEADER, { ok: true, value: COMPLETION });
    assert.ok(complete.endsWith("data: [DONE]\n\n"));
    const final = JSON.parse(complete.split("\n")[0].slice("data: ".length));
    assert.equal(final.choices[0].finish_reason, "stop");
    assert.deepEqual([final.usage.prompt_tokens, final.usage.completion_tokens], [7, 2]);
    const failure = { kind: "stream-interrupted", detail: "", retryAfterMs: 1.5 } as const;
    const failed = openai.endOfStream(HEADER, {
        ok: false,
        failure: { failure, execution: "unknown", delivered: 1, attempts: 2 },
    });
    assert.doesNotMatch(failed, /DONE/);
    const { error } = JSON.parse(failed.slice("data: ".length));
    assert.deepEqual([error.code, error.type, error.retry_after_ms], ["stream-interrupted", "server_error", 2]);
    assert.doesNotMatch(openai.sse(openai.tokenChunk(HEADER, "t")), /finish_reason/);
});

testing.test("stream messages: events survive the wire, unknown failures and unknown events do not look harmless", () => {
    const load = { queuedTokens: 5, running: 1, waiting: 2 };
    const bodies: readonly types.Body[] = [
        { type: "started", promptTokens: 1, cachedTokens: 2, engineBoot: "b", load },
        { type: "token", index: 3, text: "é" },
        { type: "ended", count: 4, reason: "length", load },
        { type: "failed", failure: { kind: "engine-refused", detail: "d", retryAfterMs: 5 } },
        { type: "redirected", betterAddress: "a", load },
    ];
    const roundTrip = (message: agent.GenerateEvent) => {
        const bytes = protobuf.toBinary(agent.GenerateEventSchema, message);
        return messages.fromMessage(protobuf.fromBinary(agent.GenerateEventSchema, bytes));
    };
    for (const body of bodies) {
        const event: types.StreamEvent = { requestId: "r", attempt: 2, sequence: 9, body };
        assert.deepEqual(roundTrip(messages.toMessage(event, 7)), event);
    }
    const unknown = failureCodec.decode(
        protobuf.create(agent.GenerateEventSchema, { event: { case: "failed", value: { kind: "new", detail: "d" } } })
            .event.value as never,
    );
    assert.equal(unknown.kind, "internal-error");
    const reason = { count: 1, reason: "cancelled" };
    const odd = protobuf.create(agent.GenerateEventSchema, { event: { case: "ended", value: reason } });
    assert.equal(messages.fromMessage(odd), undefined);
});

// A text that is not escaped, or that is taken for the place of the text, breaks the stream of the client.
testing.test("chat answer: the encoder of tokens writes what the chunk of each token says", () => {
    const headers = fastCheck.record({
        requestId: fastCheck.string(),
        model: fastCheck.string(),
        created: fastCheck.nat(),
    });
    fastCheck.assert(
        fastCheck.property(headers, fastCheck.string({ unit: "binary" }), (header, content) => {
            assert.equal(openai.tokenEncoder(header)(content), openai.sse(openai.tokenChunk(header, content)));
        }),
        { seed: SEED, numRuns: 300 },
    );
});
