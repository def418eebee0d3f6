/** Request pipeline for chat completions. */
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import * as fingerprints from "../quarantine/fingerprint.js";
import type * as settings from "../settings/schema.js";
import * as chatRequests from "../streams/chat-request.js";
import * as relays from "../streams/relay.js";
import type * as streams from "../streams/types.js";
import * as coordinators from "./attempt-coordinator.js";
import type * as attempts from "./generation-attempt.js";
import type * as requestAdmissions from "./request-admission.js";
import * as responseWriters from "./response-writer.js";
import type * as types from "./types.js";

/** Route name of chat completions. */
export const CHAT_ROUTE = "chat";

const ESTIMATED_BYTES_PER_TOKEN = 4;
const FIRST_TOKEN_TIMEOUT_MS = 30_000;
const NEXT_TOKEN_TIMEOUT_MS = 5000;
const MAXIMUM_RETRIES = 4;
/** Header that selects the priority class; the default is `interactive`. */
const PRIORITY_HEADER = "x-ibisstep-priority";
/** Separates the model from the adapter in the `model` field of a request. */
const ADAPTER_SEPARATOR = ":";

export interface ChatPipelineOptions extends coordinators.AttemptCoordinatorOptions {
    readonly settings: settings.Settings;
    readonly requestAdmission: requestAdmissions.RequestAdmission;
    readonly journal: event.Journal;
}

export class ChatPipeline {
    constructor(private readonly options: ChatPipelineOptions) {}

    readonly handle: types.Handler = async (request, responder, disconnected) => {
        const priority = request.headers[PRIORITY_HEADER] === "batch" ? "batch" : "interactive";
        const admission = await this.options.requestAdmission.admit(request, disconnected, {
            open: false,
            measureClass: priority,
            validate: () => this.validate(request, priority),
        });
        if (!admission.ok) {
            responder.fail(admission.failure);
            return;
        }
        using admitted = admission.value.request;
        const writer = new responseWriters.ResponseWriter(
            admission.value.validated,
            request.id,
            responder,
            admitted,
            this.options,
        );
        const result = await this.relay(request, admission.value.validated, admitted, writer);
        admitted.recordResult(result.ok ? result : { ok: false, failure: result.failure.failure });
        await writer.finish(result);
    };

    private validate(
        request: types.InboundRequest,
        priority: attempts.Generation["priority"],
    ): outcomes.Outcome<responseWriters.ValidatedChat> {
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
        const estimatedTokens = Math.ceil(Buffer.byteLength(prompt) / ESTIMATED_BYTES_PER_TOKEN);
        const limit = this.options.settings.limits.prompt_tokens;
        return estimatedTokens > limit
            ? outcomes.fail("prompt-too-long", `${estimatedTokens} tokens; the limit is ${limit}`)
            : outcomes.succeed({ request: parsed.value, model, adapter, prompt, priority });
    }

    private relay(
        request: types.InboundRequest,
        chat: responseWriters.ValidatedChat,
        admitted: requestAdmissions.AdmittedRequest,
        writer: responseWriters.ResponseWriter,
    ): Promise<streams.Result> {
        const { clock, journal, settings } = this.options;
        const generation = this.generation(request, chat, admitted.customer);
        const coordinator = new coordinators.AttemptCoordinator(generation, this.options, writer);
        const relay = new relays.StreamRelay(coordinator.open, coordinator.sink, {
            requestId: request.id,
            clock,
            journal,
            deadline: clock.now() + settings.timing.request_deadline_ms,
            firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT_MS,
            tokenTimeoutMs: NEXT_TOKEN_TIMEOUT_MS,
            limits: { maximumRetries: MAXIMUM_RETRIES, tryRetry: coordinator.tryRetry },
            signal: admitted.signal,
        });
        return relay.run();
    }

    private generation(
        request: types.InboundRequest,
        chat: responseWriters.ValidatedChat,
        customer: string,
    ): attempts.Generation {
        const { model, adapter, prompt, priority } = chat;
        const weightsVersion = this.options.versions.choose(model);
        return {
            requestId: request.id,
            customer,
            requirements: { customer, model, adapter, weightsVersion, prompt },
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
        return outcomes.fail("request-malformed", "the body is not valid JSON");
    }
}
