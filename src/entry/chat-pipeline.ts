/** Pipeline of chat completions. */
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import * as fingerprints from "../quarantine/fingerprint.js";
import type * as settings from "../settings/schema.js";
import * as chatRequests from "../streams/chat-request.js";
import * as relays from "../streams/relay.js";
import type * as streams from "../streams/types.js";
import * as answers from "./answer-writer.js";
import type * as attempts from "./generation-attempt.js";
import * as exchanges from "./generation-exchange.js";
import type * as intake from "./intake.js";
import type * as types from "./types.js";

export const CHAT_ROUTE = "chat";

const BYTES_PER_TOKEN = 4;
const FIRST_TOKEN_TIMEOUT_MS = 30_000;
const TOKEN_TIMEOUT_MS = 5000;
const MAXIMUM_RETRIES = 4;
/** Header that selects the priority class; `interactive` without it. */
const PRIORITY_HEADER = "x-ibisstep-priority";
/** Separates model and adapter in the model name of a request. */
const ADAPTER_SEPARATOR = ":";

export interface ChatPipelineOptions extends exchanges.ExchangeOptions {
    readonly settings: settings.Settings;
    readonly intake: intake.Intake;
    readonly journal: event.Journal;
}

export class ChatPipeline {
    constructor(private readonly options: ChatPipelineOptions) {}

    readonly handle: types.Handler = async (request, responder, disconnected) => {
        const priority = request.headers[PRIORITY_HEADER] === "batch" ? "batch" : "interactive";
        const taken = await this.options.intake.take(request, disconnected, {
            open: false,
            class: priority,
            validate: () => this.validate(request, priority),
        });
        if (!taken.ok) {
            responder.fail(taken.failure);
            return;
        }
        using admitted = taken.value.request;
        const writer = new answers.AnswerWriter(taken.value.validated, request.id, responder, admitted, this.options);
        const result = await this.relay(request, taken.value.validated, admitted, writer);
        admitted.finished(result.ok ? result : { ok: false, failure: result.failure.failure });
        await writer.finish(result);
    };

    private validate(
        request: types.InboundRequest,
        priority: attempts.Generation["priority"],
    ): outcomes.Outcome<answers.Chat> {
        const body = parseJson(request.body);
        const parsed = body.ok ? chatRequests.parse(body.value) : body;
        if (!parsed.ok) {
            return parsed;
        }
        const [name, adapter = ""] = parsed.value.model.split(ADAPTER_SEPARATOR);
        const model = this.options.board.read("configuration").models.get(name);
        if (model === undefined || (adapter !== "" && !model.adapters.includes(adapter))) {
            return outcomes.fail("model-unknown", parsed.value.model);
        }
        const prompt = chatRequests.renderPrompt(parsed.value.messages);
        const tokens = Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN);
        const limit = this.options.settings.limits.prompt_tokens;
        return tokens > limit
            ? outcomes.fail("prompt-too-long", `${tokens} tokens, allowed are ${limit}`)
            : outcomes.succeed({ request: parsed.value, model, adapter, prompt, priority });
    }

    private relay(
        request: types.InboundRequest,
        chat: answers.Chat,
        admitted: intake.AdmittedRequest,
        writer: answers.AnswerWriter,
    ): Promise<streams.Result> {
        const { clock, journal, settings } = this.options;
        const generation = this.generation(request, chat, admitted.customer);
        const exchange = new exchanges.GenerationExchange(generation, this.options, writer);
        const relay = new relays.StreamRelay(exchange.open, exchange.sink, {
            requestId: request.id,
            clock,
            journal,
            deadline: clock.now() + settings.timing.request_deadline_ms,
            firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT_MS,
            tokenTimeoutMs: TOKEN_TIMEOUT_MS,
            limits: { maximumRetries: MAXIMUM_RETRIES, takeRetry: exchange.takeRetry },
            signal: admitted.signal,
        });
        return relay.run();
    }

    private generation(request: types.InboundRequest, chat: answers.Chat, customer: string): attempts.Generation {
        const { model, adapter, prompt, priority } = chat;
        const weightsVersion = this.options.versions.choose(model);
        return {
            requestId: request.id,
            customer,
            demand: { customer, model, adapter, weightsVersion, prompt },
            priority,
            maxTokens: chat.request.maxTokens,
            fingerprint: fingerprints.fingerprint(customer, Buffer.from(request.body).toString("utf8")),
            runAlone: false,
            route: CHAT_ROUTE,
        };
    }
}

function parseJson(body: Uint8Array): outcomes.Outcome<unknown> {
    try {
        return outcomes.succeed(JSON.parse(Buffer.from(body).toString("utf8")));
    }
    catch {
        return outcomes.fail("request-malformed", "the body is not JSON");
    }
}
