/** Opens the attempts of one generation on behalf of the stream relay. */
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as recorders from "../metrics/recorder.js";
import type * as versionSelectors from "../rollout/version-selector.js";
import type * as streams from "../streams/types.js";
import type * as agentCallers from "./agent-caller.js";
import * as attempts from "./generation-attempt.js";
import * as quarantinePolicies from "./quarantine-policy.js";
import type * as responseWriters from "./response-writer.js";
import type * as serverHealths from "./server-health.js";
import type * as serverSelections from "./server-selection.js";

export interface AttemptCoordinatorOptions {
    readonly board: boards.Board;
    readonly agentCaller: agentCallers.AgentCaller;
    readonly servers: serverSelections.ServerSelection;
    readonly versions: versionSelectors.VersionSelector;
    readonly recorder: recorders.Recorder;
    readonly clock: clocks.Clock;
    readonly health: serverHealths.ServerHealth;
    readonly quarantinePolicy: quarantinePolicies.QuarantinePolicy;
}

/** Failures attributed to the weights version on a server, not to the server itself. */
const VERSION_FAILURES: ReadonlySet<string> = new Set([
    "version-withdrawn",
    "weights-not-loaded",
    "engine-refused",
    "engine-failed",
    "engine-protocol-error",
]);

/** Opens attempts and passes their reports to server selection and circuit breakers. */
export class AttemptCoordinator {
    private choice: serverSelections.Choice | undefined;
    private attemptId = "";
    /** By server address, the version that failed there; the server may still run the request on another version. */
    private readonly failedVersions = new Map<string, string>();
    private priorOutcome: versionSelectors.PriorOutcome = "none";
    private readonly quarantine: quarantinePolicies.RequestQuarantine;

    constructor(
        private generation: attempts.Generation,
        private readonly options: AttemptCoordinatorOptions,
        private readonly writer: responseWriters.ResponseWriter,
    ) {
        this.quarantine = options.quarantinePolicy.forRequest(generation.fingerprint);
    }

    readonly open: streams.OpenAttempt = async (plan, signal) => {
        const { agentCaller, board } = this.options;
        this.attemptId = `${this.generation.requestId}-${plan.attempt}`;
        const verdict = await this.quarantine.decide(plan);
        if (verdict === "refuse") {
            return outcomes.fail("request-quarantined", this.generation.fingerprint);
        }
        this.generation = { ...this.generation, runAlone: verdict === "run-alone" };
        const choice = this.select(plan);
        if (choice === undefined) {
            return attempts.noServerAvailable(this.generation.requirements);
        }
        this.choice = choice;
        this.quarantine.attemptSent(choice.address);
        this.options.health.requestSent(choice.address, plan.attempt === 1, this.options.clock.now());
        if (plan.tokens.length > 0) {
            this.options.recorder.count("continuations", this.generation.customer);
        }
        const version = () => board.read("configuration").version;
        return outcomes.succeed({
            server: choice.address,
            events: attempts.attemptEvents(agentCaller, choice, this.generation, plan, version, signal),
        });
    };

    /**
     * Returns whether the request may be retried after a failure of the server. Failures of a sampled version do not
     * use the retry budget: its requests arrive in bursts, which would exhaust the budget of a server with little
     * traffic. The traffic share of the version already limits these retries.
     */
    readonly tryRetry = (server: string): boolean => {
        const { health, versions, clock } = this.options;
        const { model, weightsVersion } = this.generation.requirements;
        const isVersionFailure = this.failedVersions.get(server) === weightsVersion;
        return isVersionFailure && versions.isCanary(model.name, weightsVersion)
            || health.tryRetry(server, clock.now());
    };

    /** Selects a server with the weights version of the request, or else with the next version that it may run on. */
    private select(plan: streams.AttemptPlan): serverSelections.Choice | undefined {
        const { servers, versions, clock } = this.options;
        const { requirements, fingerprint, runAlone } = this.generation;
        const avoided = [...quarantinePolicies.avoidedServers(plan, runAlone)];
        const priorOutcome = plan.tokens.length > 0 && this.priorOutcome === "failed" ? "none" : this.priorOutcome;
        for (
            const weightsVersion of versions.versionsFor(requirements.model, requirements.weightsVersion, priorOutcome)
        ) {
            const versionRequirements = { ...requirements, weightsVersion };
            const isExcluded = (server: string) =>
                (this.failedVersions.get(server) ?? weightsVersion) === weightsVersion;
            const excluded = new Set(avoided.filter(isExcluded));
            const attemptRequirements = { ...versionRequirements, excluded, preferred: plan.preferred };
            const choice = runAlone
                ? servers.selectForTrial(attemptRequirements, fingerprint, this.attemptId, clock.now())
                : servers.select(attemptRequirements, this.attemptId, clock.now());
            if (choice !== undefined) {
                this.generation = { ...this.generation, requirements: versionRequirements };
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
                health.requestSucceeded(this.choice.address, clock.now());
                servers.attemptStarted(this.choice, this.attemptId, { engineBoot, cachedTokens, load }, clock.now());
            }
            recorder.count("prompt-tokens", this.generation.customer, started.promptTokens);
            recorder.count("cached-prompt-tokens", this.generation.customer, started.cachedTokens);
        },
        token: token => this.writer.writeToken(token),
        attemptFailed: (server, failure) => {
            const { servers, clock, health } = this.options;
            servers.attemptEnded(this.generation.requirements.model.name, server, this.attemptId);
            health.requestFailed(server, failure, clock.now());
            if (VERSION_FAILURES.has(failure.kind)) {
                this.failedVersions.set(server, this.generation.requirements.weightsVersion);
                this.priorOutcome = failure.kind === "version-withdrawn" ? "refused" : "failed";
            }
            if (failure.kind === "peer-connection-lost" || failure.kind === "engine-connection-lost") {
                servers.connectionLost(server, clock.now());
            }
        },
        load: (server, load) => {
            const { servers, clock } = this.options;
            servers.attemptEnded(this.generation.requirements.model.name, server, this.attemptId);
            servers.loadReported(this.generation.requirements.model.name, server, load, clock.now());
        },
    };
}
