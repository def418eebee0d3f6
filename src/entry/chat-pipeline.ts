/** Pipeline of chat completions. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import type * as recorders from "../metrics/recorder.js";
import * as fingerprints from "../quarantine/fingerprint.js";
import type * as versionChoices from "../rollout/version-choice.js";
import type * as settings from "../settings/schema.js";
import * as chatRequests from "../streams/chat-request.js";
import * as openai from "../streams/openai.js";
import * as relays from "../streams/relay.js";
import type * as streams from "../streams/types.js";
import type * as callers from "./agent-caller.js";
import * as attempts from "./generation-attempt.js";
import type * as intake from "./intake.js";
import type * as serverHealths from "./server-health.js";
import type * as serverSelection from "./server-selection.js";
import * as suspicions from "./suspicion.js";
import type * as types from "./types.js";

export const CHAT_ROUTE = "chat";

const BYTES_PER_TOKEN = 4;
const MILLISECONDS_PER_SECOND = 1000;
const FIRST_TOKEN_TIMEOUT_MS = 30_000;
const TOKEN_TIMEOUT_MS = 5000;
const MAXIMUM_RETRIES = 4;
/** Header that selects the priority class; `interactive` without it. */
const PRIORITY_HEADER = "x-ibisstep-priority";
/** Separates model and adapter in the model name of a request. */
const ADAPTER_SEPARATOR = ":";

export interface ChatPipelineOptions {
    readonly settings: settings.Settings;
    readonly board: boards.Board;
    readonly intake: intake.Intake;
    readonly caller: callers.AgentCaller;
    readonly servers: serverSelection.ServerSelection;
    readonly versions: versionChoices.VersionChoice;
    readonly recorder: recorders.Recorder;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly health: serverHealths.ServerHealth;
    readonly suspicion: suspicions.Suspicion;
}

/** A validated request before its admission. */
interface Chat {
    readonly request: chatRequests.ChatRequest;
    readonly model: manifest.Model;
    readonly adapter: string;
    readonly prompt: string;
    readonly priority: attempts.Generation["priority"];
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
        const writer = new AnswerWriter(taken.value.validated, request.id, responder, this.options, admitted);
        const result = await this.relay(request, taken.value.validated, admitted, writer);
        admitted.finished(result.ok ? result : { ok: false, failure: result.failure.failure });
        await writer.finish(result);
    };

    private validate(
        request: types.InboundRequest,
        priority: attempts.Generation["priority"],
    ): outcomes.Outcome<Chat> {
        const body = parseJson(request.body);
        const parsed = body.ok ? chatRequests.parse(body.value) : body;
        if (!parsed.ok) {
            return parsed;
        }
        const [name, adapter = ""] = parsed.value.model.split(ADAPTER_SEPARATOR);
        const model = this.options.board.read("configuration").models.get(name);
        if (model === undefined || (adapter !== "" && !model.adapters.includes(adapter))) {
            return outcomes.refuse("model-unknown", parsed.value.model);
        }
        const prompt = chatRequests.prompt(parsed.value.messages);
        const tokens = Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN);
        const limit = this.options.settings.limits.prompt_tokens;
        return tokens > limit
            ? outcomes.refuse("prompt-too-long", `${tokens} tokens, allowed are ${limit}`)
            : outcomes.succeed({ request: parsed.value, model, adapter, prompt, priority });
    }

    private relay(
        request: types.InboundRequest,
        chat: Chat,
        admitted: intake.AdmittedRequest,
        writer: AnswerWriter,
    ): Promise<streams.Result> {
        const { clock, journal, settings } = this.options;
        const generation = this.generation(request, chat, admitted.customer);
        const exchange = new Exchange(generation, this.options, writer);
        const relay = new relays.StreamRelay(exchange.open, exchange.sink, {
            requestId: request.id,
            clock,
            journal,
            deadline: clock.now() + settings.timing.request_deadline_ms,
            firstTokenTimeoutMs: FIRST_TOKEN_TIMEOUT_MS,
            tokenTimeoutMs: TOKEN_TIMEOUT_MS,
            limits: {
                maximumRetries: MAXIMUM_RETRIES,
                takeRetry: server => this.options.health.takeRetry(server, clock.now()),
            },
            signal: admitted.signal,
        });
        return relay.run();
    }

    private generation(request: types.InboundRequest, chat: Chat, customer: string): attempts.Generation {
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

/** Failures that speak against the version on a server and not against the server. */
const VERSION_FAILURES: ReadonlySet<string> = new Set([
    "version-withdrawn",
    "weights-not-loaded",
    "engine-refused",
    "engine-failed",
    "engine-protocol-error",
]);

/** The attempts of one request: opens them and feeds what they report to the selection of servers. */
class Exchange {
    private choice: serverSelection.Choice | undefined;
    private attemptId = "";
    /** Version that failed on a server; the server can run the request on another one. */
    private readonly failedVersions = new Map<string, string>();
    private experience: versionChoices.Experience = "none";
    private readonly verdict: suspicions.RequestVerdict;

    constructor(
        private generation: attempts.Generation,
        private readonly options: ChatPipelineOptions,
        private readonly writer: AnswerWriter,
    ) {
        this.verdict = options.suspicion.of(generation.fingerprint);
    }

    readonly open: streams.OpenAttempt = async (plan, signal) => {
        const { caller, board } = this.options;
        this.attemptId = `${this.generation.requestId}-${plan.attempt}`;
        const verdict = await this.verdict.decide(plan);
        if (verdict === "refuse") {
            return outcomes.refuse("request-quarantined", this.generation.fingerprint);
        }
        this.generation = { ...this.generation, runAlone: verdict === "run-alone" };
        const choice = this.select(plan);
        if (choice === undefined) {
            return attempts.noServer(this.generation.demand);
        }
        this.choice = choice;
        this.verdict.sent(choice.address);
        this.options.health.sent(choice.address, plan.attempt === 1, this.options.clock.now());
        if (plan.tokens.length > 0) {
            this.options.recorder.count("continuations", this.generation.customer);
        }
        const version = () => board.read("configuration").version;
        return outcomes.succeed({
            server: choice.address,
            events: attempts.attemptEvents(caller, choice, this.generation, plan, version, signal),
        });
    };

    /** Selects a server with the version of the request, or with the next one that it may run on. */
    private select(plan: streams.AttemptPlan): serverSelection.Choice | undefined {
        const { servers, versions, clock } = this.options;
        const { demand, fingerprint, runAlone } = this.generation;
        const avoided = [...suspicions.avoided(plan, runAlone)];
        const experience = plan.tokens.length > 0 && this.experience === "failed" ? "none" : this.experience;
        for (const weightsVersion of versions.versionsFor(demand.model, demand.weightsVersion, experience)) {
            const attempted = { ...demand, weightsVersion };
            const isExcluded = (server: string) =>
                (this.failedVersions.get(server) ?? weightsVersion) === weightsVersion;
            const excluded = new Set(avoided.filter(isExcluded));
            const wanted = { ...attempted, excluded, preferred: plan.preferred };
            const choice = runAlone
                ? servers.selectForTrial(wanted, fingerprint, this.attemptId, clock.now())
                : servers.select(wanted, this.attemptId, clock.now());
            if (choice !== undefined) {
                this.generation = { ...this.generation, demand: attempted };
                return choice;
            }
        }
        return undefined;
    }

    readonly sink: streams.Sink = {
        started: started => {
            const { servers, clock, recorder, health } = this.options;
            if (this.choice !== undefined) {
                const { engineBoot, cachedTokens, load } = started;
                health.succeeded(this.choice.address, clock.now());
                servers.started(this.choice, this.attemptId, { engineBoot, cachedTokens, load }, clock.now());
            }
            recorder.count("prompt-tokens", this.generation.customer, started.promptTokens);
            recorder.count("cached-prompt-tokens", this.generation.customer, started.cachedTokens);
        },
        token: token => this.writer.token(token),
        attemptFailed: (server, failure) => {
            const { servers, clock, health } = this.options;
            servers.ended(this.generation.demand.model.name, server, this.attemptId);
            health.ended(server, failure, clock.now());
            if (VERSION_FAILURES.has(failure.kind)) {
                this.failedVersions.set(server, this.generation.demand.weightsVersion);
                this.experience = failure.kind === "version-withdrawn" ? "refused" : "failed";
            }
            if (failure.kind === "peer-connection-lost" || failure.kind === "engine-connection-lost") {
                servers.lost(server, clock.now());
            }
        },
        load: (server, load) => {
            const { servers, clock } = this.options;
            servers.ended(this.generation.demand.model.name, server, this.attemptId);
            servers.reported(this.generation.demand.model.name, server, load, clock.now());
        },
    };
}

/** Writes the answer to the caller, streamed or at once, and measures it. */
class AnswerWriter {
    private readonly header: openai.AnswerHeader;
    private readonly encode: (text: string) => string;
    private readonly texts: string[] = [];
    private readonly startedAt: number;
    private lastTokenAt = 0;

    constructor(
        private readonly chat: Chat,
        requestId: string,
        private readonly responder: types.Responder,
        private readonly options: ChatPipelineOptions,
        private readonly admitted: intake.AdmittedRequest,
    ) {
        const created = Math.floor(options.clock.wallTime() / MILLISECONDS_PER_SECOND);
        this.header = { requestId, model: chat.request.model, created };
        this.encode = openai.tokenEncoder(this.header);
        this.startedAt = admitted.arrivedAt;
    }

    async token(token: streams.Token): Promise<void> {
        this.measure();
        if (!this.chat.request.stream) {
            this.texts.push(token.text);
            return;
        }
        this.begin();
        await this.responder.write(this.encode(token.text));
    }

    /** Ends the response; a failed stream that has begun ends with a typed error event and without `[DONE]`. */
    async finish(result: streams.Result): Promise<void> {
        if (result.ok) {
            this.options.recorder.count("output-tokens", this.admitted.customer, result.value.count);
        }
        if (this.chat.request.stream && (result.ok || this.responder.started)) {
            this.begin();
            this.responder.end(openai.endOfStream(this.header, result));
            return;
        }
        if (!result.ok) {
            this.responder.fail(result.failure.failure, result.failure.execution);
            return;
        }
        this.responder.begin(200, { "content-type": "application/json" });
        const body = openai.completionBody(this.header, this.texts.join(""), result.value);
        this.responder.end(JSON.stringify(body));
    }

    private begin(): void {
        if (this.responder.started) {
            return;
        }
        this.responder.begin(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        void this.responder.write(openai.sse(openai.roleChunk(this.header)));
    }

    private measure(): void {
        const { recorder, clock } = this.options;
        const now = clock.now();
        const isFirst = this.lastTokenAt === 0;
        const measure = isFirst ? "time-to-first-token" : "time-between-tokens";
        const since = isFirst ? this.startedAt : this.lastTokenAt;
        recorder.record(measure, this.admitted.customer, this.chat.priority, now - since);
        this.lastTokenAt = now;
    }
}

function parseJson(body: Uint8Array): outcomes.Outcome<unknown> {
    try {
        return outcomes.succeed(JSON.parse(Buffer.from(body).toString("utf8")));
    }
    catch {
        return outcomes.refuse("request-malformed", "the body is not JSON");
    }
}
