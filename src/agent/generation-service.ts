/** Schedules generations and runs them on the agent's engine. */
import type * as clocks from "../clock/clock.js";
import type * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as queues from "../fairness/job-queue.js";
import type * as manifest from "../manifest/types.js";
import type * as recorders from "../metrics/recorder.js";
import * as outcomeCounters from "../rollout/outcome-counter.js";
import * as servingPolicies from "../rollout/serving-policy.js";
import type * as views from "../routing/cache-view.js";
import * as prefixes from "../routing/prefix.js";
import * as redirections from "../routing/redirection.js";
import * as failureCodec from "../rpc/failure-codec.js";
import type * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import * as states from "./backend-state.js";
import type * as engineTypes from "./engine-types.js";
import type * as runners from "./generation-runner.js";
import type * as guards from "./request-guard.js";
import * as runDeadlines from "./run-deadline.js";

/** Prefill time per token in milliseconds that the redirect decision assumes before the first measurement. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.02;
/** Weight of the latest request in the exponential moving average of the prefill time. */
const PREFILL_SMOOTHING = 0.2;

export interface GenerationServiceOptions {
    readonly guard: guards.RequestGuard;
    readonly board: boards.Board;
    /** Address of the engine. */
    readonly engineAddress: string;
    readonly runner: runners.GenerationRunner;
    readonly queue: queues.JobQueue;
    readonly cache: views.CacheView;
    readonly recorder: recorders.Recorder;
    readonly outcomeCounter: outcomeCounters.OutcomeCounter;
    /** Maximum number of requests that the engine runs concurrently. */
    readonly slots: number;
    readonly clock: clocks.Clock;
}

type Event = Exclude<messages.GenerateEvent["event"], { case: undefined; }>;
/** An event to send: its value lacks the type name that generated message types require. */
type OutboundEvent = { [Case in Event["case"]]: { readonly case: Case; readonly value: object; }; }[Event["case"]];

/** A request with the values derived from its prompt. */
interface PreparedRequest {
    readonly request: messages.GenerateRequest;
    readonly prefix: prefixes.Prefix;
    readonly cachedTokens: number;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    readonly signal: AbortSignal;
}

export class GenerationService {
    private prefillMsPerToken = INITIAL_PREFILL_MS_PER_TOKEN;

    constructor(private readonly options: GenerationServiceOptions) {}

    /** Yields the events of one attempt; the last one is `ended`, `failed` or `redirected`. */
    async *generate(
        request: messages.GenerateRequest,
        callerAddress: string,
        signal: AbortSignal,
    ): AsyncGenerator<OutboundEvent, void, void> {
        const arrivedAt = this.options.clock.now();
        const configuration = await this.options.guard.check({
            customer: request.customer,
            manifestVersion: Number(request.manifestVersion),
            callerAddress,
        });
        if (!configuration.ok) {
            yield failed(configuration.failure);
            return;
        }
        const allowed = this.options.runner.check(request);
        if (!allowed.ok) {
            yield failed(allowed.failure);
            return;
        }
        const prepared = this.prepare(request, configuration.value, arrivedAt, signal);
        if (!prepared.ok) {
            yield failed(prepared.failure);
            return;
        }
        const decision = this.decideRedirect(prepared.value);
        if (decision.kind === "redirect") {
            yield { case: "redirected", value: { betterAddress: decision.address, load: this.load() } };
            return;
        }
        yield* this.runQueued(prepared.value, arrivedAt);
    }

    /** Load of the engine and of the queue in front of it. */
    load() {
        const { queue, board } = this.options;
        const { load } = board.read("backend");
        const waiting = queue.load();
        return {
            queuedTokens: BigInt(Math.round(load.queuedTokens + waiting.queuedCost)),
            running: waiting.running,
            waiting: waiting.waiting,
        };
    }

    private prepare(
        request: messages.GenerateRequest,
        configuration: manifest.Configuration,
        arrivedAt: number,
        signal: AbortSignal,
    ): outcomes.Outcome<PreparedRequest> {
        const model = configuration.models.get(request.model);
        const backend = this.options.board.read("backend");
        if (model === undefined) {
            return outcomes.fail("model-unknown", request.model);
        }
        // A trial may wait for an engine that is starting; its loaded weights are unknown until it is reachable.
        if (!backend.reachable && !request.runAlone) {
            return outcomes.fail("engine-unreachable", this.options.engineAddress);
        }
        const weights = states.weightsName(request.model, request.weightsVersion);
        if (!this.isVersionAllowed(request)) {
            return outcomes.fail("version-withdrawn", weights);
        }
        if (backend.reachable && !backend.weights.includes(weights)) {
            return outcomes.fail("weights-not-loaded", weights);
        }
        const prefix = prefixes.prefixOf(request, request.prompt, model.pieceTokens);
        const cachedPieces = this.options.cache.matchedPieces(prefix.chain);
        return outcomes.succeed({
            request,
            prefix,
            cachedTokens: cachedPieces * model.pieceTokens,
            deadline: arrivedAt + request.deadlineMs,
            signal,
        });
    }

    private isVersionAllowed(request: messages.GenerateRequest): boolean {
        const { board, clock } = this.options;
        const configuration = board.read("configuration");
        const model = configuration.models.get(request.model);
        return model !== undefined
            && servingPolicies.mayRun(
                configuration,
                board.read("rollouts"),
                model,
                request.weightsVersion,
                clock.wallTime(),
            );
    }

    private decideRedirect(prepared: PreparedRequest): redirections.Decision {
        const { request, prefix, cachedTokens } = prepared;
        const alternative = request.alternativeAddress === ""
            ? undefined
            : { address: request.alternativeAddress, expectedMs: request.alternativeMs };
        const own = {
            queuedTokens: Number(this.load().queuedTokens),
            uncachedTokens: prefix.promptTokens - cachedTokens,
            prefillMsPerToken: this.prefillMsPerToken,
            networkMs: 0,
        };
        return redirections.decide(own, alternative, request.mayRedirect);
    }

    private async *runQueued(prepared: PreparedRequest, arrivedAt: number): AsyncGenerator<OutboundEvent, void, void> {
        const { request, prefix, cachedTokens, deadline, signal } = prepared;
        const outputTokens = Math.max(0, request.maxTokens - request.resumeTokens.length);
        const acquired = await this.options.queue.acquire({
            customer: request.customer,
            priority: request.priority === "batch" ? "batch" : "interactive",
            cost: prefix.promptTokens - cachedTokens + outputTokens,
            tokens: prefix.promptTokens + outputTokens,
            deadline,
            // The isolation gate after the queue reserves the engine for a trial. A trial that also required all slots
            // to be free would wait for runs that hold slots while they wait at the gate for another trial.
            isExclusive: false,
        }, signal);
        if (!acquired.ok) {
            yield failed(acquired.failure);
            return;
        }
        using slot = acquired.value;
        // The version may have been vetoed while the request was queued.
        if (!this.isVersionAllowed(request)) {
            yield failed({ kind: "version-withdrawn", detail: `${request.model}@${request.weightsVersion}` });
            return;
        }
        const startedAt = this.options.clock.now();
        this.options.recorder.record("queue-time", request.customer, request.priority, startedAt - arrivedAt);
        yield* this.run(prepared, cost => slot.complete(cost));
    }

    private async *run(
        prepared: PreparedRequest,
        complete: (cost: number) => void,
    ): AsyncGenerator<OutboundEvent, void, void> {
        let startedAt = this.options.clock.now();
        const { request, prefix } = prepared;
        let uncachedTokens = prefix.promptTokens;
        let tokens = 0;
        using runDeadline = new runDeadlines.RunDeadline(prepared.signal, prepared.deadline - startedAt);
        let outcome: outcomeCounters.RequestOutcome | undefined;
        // Time spent waiting at the isolation gate must not count as latency of the engine.
        const onStart = () => {
            startedAt = this.options.clock.now();
            outcome = this.beginOutcome(request, startedAt);
        };
        const { fingerprint, runAlone } = request;
        const generation = { request: engineRequest(request, prefix.scope), fingerprint, runAlone, onStart };
        try {
            for await (const event of this.options.runner.generate(generation, runDeadline.signal)) {
                if (event.type === "start") {
                    uncachedTokens = event.promptTokens - event.cachedTokens;
                }
                if (event.type === "token") {
                    tokens++;
                    this.updatePrefillEstimate(tokens, uncachedTokens, startedAt);
                    outcome?.recordToken(this.options.clock.now());
                }
                if (event.type === "end" || event.type === "failed") {
                    outcome?.end(this.options.clock.now(), event.type === "failed" ? event.failure : undefined);
                }
                const expired = event.type === "failed" && runDeadline.isExpired;
                yield expired
                    ? failed({ kind: "deadline-exceeded", detail: request.requestId })
                    : this.encodeEvent(event);
            }
        }
        finally {
            outcome?.end(this.options.clock.now(), { kind: "engine-cancelled", detail: request.requestId });
            complete(uncachedTokens + tokens);
        }
    }

    private beginOutcome(
        request: messages.GenerateRequest,
        now: number,
    ): outcomeCounters.RequestOutcome | undefined {
        const { board, queue, slots } = this.options;
        return this.options.outcomeCounter.begin({
            model: request.model,
            weightsVersion: request.weightsVersion,
            route: request.route,
            backendBoot: board.read("backend").boot,
            loadLevel: outcomeCounters.loadLevelOf(queue.load(), slots),
        }, now);
    }

    private updatePrefillEstimate(tokens: number, uncachedTokens: number, startedAt: number): void {
        if (tokens !== 1 || uncachedTokens <= 0) {
            return;
        }
        const observed = (this.options.clock.now() - startedAt) / uncachedTokens;
        this.prefillMsPerToken += PREFILL_SMOOTHING * (observed - this.prefillMsPerToken);
    }

    private encodeEvent(event: engineTypes.EngineEvent): OutboundEvent {
        switch (event.type) {
            case "start":
                return {
                    case: "started",
                    value: {
                        promptTokens: event.promptTokens,
                        cachedTokens: event.cachedTokens,
                        engineBoot: event.boot,
                        load: this.load(),
                    },
                };
            case "token":
                return { case: "token", value: { index: event.index, text: event.text } };
            case "end":
                return { case: "ended", value: { count: event.count, reason: event.reason, load: this.load() } };
            case "failed":
                return failed(event.failure);
        }
    }
}

function engineRequest(request: messages.GenerateRequest, scope: string): engineTypes.EngineRequest {
    return {
        requestId: `${request.requestId}-${request.attempt}`,
        model: request.model,
        adapter: request.adapter,
        weightsVersion: request.weightsVersion,
        cacheScope: scope,
        prompt: request.prompt,
        resumeTokens: request.resumeTokens,
        maxTokens: request.maxTokens,
        priority: request.priority === "batch" ? "batch" : "interactive",
        route: request.route,
    };
}

function failed(failure: failures.Failure): OutboundEvent {
    return { case: "failed", value: failureCodec.encode(failure) };
}
