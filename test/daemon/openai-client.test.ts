/** Guards against responses that the official OpenAI client library cannot parse. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as openai from "openai";
import * as deployments from "../../tools/support/deployment.js";

const CUSTOMER = "club";
const MODEL = "menu";
const TOKENS = 12;

const plan: deployments.Plan = {
    models: [MODEL],
    engines: [{ name: "menu-1", model: MODEL, dataCentre: "dc-a" }],
    bookingServices: [],
    entries: ["dc-a", "dc-b"],
    customers: [{ name: CUSTOMER, requestsPerSecond: 100, burst: 100 }],
};

testing.test("the official OpenAI client lists models, streams from two entries and parses errors", async () => {
    await using deployment = await deployments.Deployment.start(plan);
    const texts: string[] = [];
    for (const entry of deployment.entries) {
        const baseURL = `http://${entry.httpAddress}/v1`;
        const client = new openai.OpenAI({ baseURL, apiKey: deployment.keys.get(CUSTOMER), maxRetries: 0 });
        const models = await client.models.list();
        assert.deepEqual(models.data.map(model => model.id), [MODEL]);
        const messages = [{ role: "user" as const, content: "Check the menu." }];
        const stream = await client.chat.completions.create({
            model: MODEL,
            messages,
            max_tokens: TOKENS,
            stream: true,
        });
        let text = "";
        let finishReason = "";
        for await (const chunk of stream) {
            text += chunk.choices[0]?.delta.content ?? "";
            finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
        }
        assert.equal(finishReason, "length");
        const completion = await client.chat.completions.create({ model: MODEL, messages, max_tokens: TOKENS });
        assert.equal(completion.choices[0].message.content, text);
        assert.equal(completion.usage?.completion_tokens, TOKENS);
        texts.push(text);
        await assert.rejects(
            client.chat.completions.create({ model: "unknown", messages }),
            error => error instanceof openai.NotFoundError && error.code === "model-unknown",
        );
        const unauthorizedClient = new openai.OpenAI({ baseURL, apiKey: "sk-wrong", maxRetries: 0 });
        await assert.rejects(unauthorizedClient.models.list(), error => error instanceof openai.AuthenticationError);
    }
    assert.equal(new Set(texts).size, 1, "both entries return the same text");
});
