/** The attempts of one generation, as the stream relay drives them. */
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as recorders from "../metrics/recorder.js";
import type * as versionSelectors from "../rollout/version-selector.js";
import type * as streams from "../streams/types.js";
import type * as callers from "./agent-caller.js";
import type * as answers from "./answer-writer.js";
import * as attempts from "./generation-attempt.js";
import type * as serverHealths from "./server-health.js";
import type * as serverSelection from "./server-selection.js";
import * as suspicions from "./suspicion.js";

export interface ExchangeOptions {
    readonly board: boards.Board;
    readonly caller: callers.AgentCaller;
    readonly servers: serverSelection.ServerSelection;
    readonly versions: versionSelectors.VersionSelector;
    readonly recorder: recorders.Recorder;
    readonly clock: clocks.Clock;
    readonly health: serverHealths.ServerHealth;
    readonly suspicion: suspicions.Suspicion;
}

/** Failures that speak against the version on a server and not against the server. */
const VERSION_FAILURES: ReadonlySet<string> = new Set([
    "version-withdrawn",
    "weights-not-loaded",
    "engine-refused",
    "engine-failed",
    "engine-protocol-error",
]);

/** Opens attempts and feeds what they report to the selection of servers. */
export class GenerationExchange {
    private choice: serverSelection.Choice | undefined;
    private attemptId = "";
    /** Version that failed on a server; the server can run the request on another one. */
    private readonly failedVersions = new Map<string, string>();
    private experience: versionSelectors.PriorOutcome = "none";
    private readonly verdict: suspicions.RequestVerdict;

    constructor(
        private generation: attempts.Generation,
        private readonly options: ExchangeOptions,
        private readonly writer: answers.AnswerWriter,
    ) {
        this.verdict = options.suspicion.of(generation.fingerprint);
    }

    readonly open: streams.OpenAttempt = async (plan, signal) => {
        const { caller, board } = this.options;
        this.attemptId = `${this.generation.requestId}-${plan.attempt}`;
        const verdict = await this.verdict.decide(plan);
        if (verdict === "refuse") {
            return outcomes.fail("request-quarantined", this.generation.fingerprint);
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

    /**
     * Takes a retry after a failure at the server. A sampled version gets its requests in bursts, which would use up the
     * budget of a server with little traffic; its share bounds these retries.
     */
    readonly takeRetry = (server: string): boolean => {
        const { health, versions, clock } = this.options;
        const { model, weightsVersion } = this.generation.demand;
        const isVersionFailure = this.failedVersions.get(server) === weightsVersion;
        return isVersionFailure && versions.isCanary(model.name, weightsVersion)
            || health.takeRetry(server, clock.now());
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
