/** Chooses the server of one call, and decides whether the call may run although calls like it crash servers. */
import type * as fleet from "../fleet/types.js";
import type * as homeRegions from "../placement/homes.js";
import type * as promptGroups from "../placement/prompt-groups.js";
import * as selection from "../placement/selection.js";
import type * as placement from "../placement/types.js";
import * as attribution from "../quarantine/attribution.js";
import type * as suspectTrackers from "../quarantine/suspect-tracker.js";
import type * as callFingerprints from "./call-fingerprints.js";
import type * as promptCacheAccess from "./prompt-cache-access.js";
import type * as types from "./types.js";

export type ServerChoice = placement.PlacementDecision & { readonly kind: "server"; };

/** Why a call is not placed: no server can take it, or calls like it are suspected of crashing servers. */
export type Placement =
    | ServerChoice
    | { readonly kind: "none"; readonly reason: placement.UnplacedReason | "on-trial"; readonly pauseMs?: number; }
    | { readonly kind: "quarantined"; readonly fingerprint: string; readonly retryAfterMs: number; };

export interface PlacedSubject {
    readonly head: fleet.CallHead;
    readonly route: fleet.Route;
    readonly service: string;
    readonly cache: promptCacheAccess.PromptCacheAccess;
    readonly fingerprints: callFingerprints.CallFingerprints;
    /** Where the call may run; undefined for anywhere. */
    readonly homes?: homeRegions.Homes | undefined;
}

/** Reasons that last until the operator changes what it has ordered, so that a call need not wait. */
export const LASTING_REASONS: ReadonlySet<string> = new Set<placement.UnplacedReason>([
    "all-outside-homes",
    "all-evacuated",
]);

interface Trial {
    readonly suspects: readonly string[];
    readonly reservation: Disposable;
}

export class CallPlacement {
    /** Servers of earlier attempts. */
    readonly triedServers = new Set<string>();
    /** Set while this call is the one that may run although calls like it are suspected of crashing servers. */
    private trial: Trial | undefined;

    constructor(private readonly ports: types.CallPorts, private readonly call: PlacedSubject) {}

    /** Same for calls that can be placed only under the same conditions; undefined if those of this call are its own. */
    get requirements(): string | undefined {
        const { head, homes } = this.call;
        const homesSuffix = homes === undefined ? "" : `@${homes.key}`;
        return this.triedServers.size === 0 && this.ports.suspects.isEmpty
            ? `${head.model ?? ""}${homesSuffix}`
            : undefined;
    }

    get isTrial(): boolean {
        return this.trial !== undefined;
    }

    /** Fingerprints for which the call runs as a trial. */
    get trialSuspects(): readonly string[] {
        return this.trial?.suspects ?? [];
    }

    /** Whether calls like this one are suspected of crashing servers. */
    standing(): suspectTrackers.Admission {
        const { suspects, clock } = this.ports;
        return suspects.isEmpty
            ? attribution.RUN
            : suspects.decide(this.call.fingerprints.all, { now: clock.now(), wallTime: clock.wallTime() });
    }

    /** Chooses a server, and reserves the trial of a suspected call for this one. */
    choose(): Placement {
        const standing = this.trial === undefined ? this.standing() : attribution.RUN;
        if (standing.kind === "refuse") {
            return { ...standing, kind: "quarantined" };
        }
        if (standing.kind === "wait") {
            return { kind: "none", reason: "on-trial" };
        }
        const isTrial = standing.kind === "trial" || this.trial !== undefined;
        const choice = isTrial ? this.chooseTrialServer() : this.chooseServer(this.candidates());
        if (standing.kind === "trial" && choice.kind === "server") {
            const { suspects } = standing;
            this.trial = { suspects, reservation: this.ports.suspects.beginTrial(suspects) };
        }
        return choice;
    }

    /** Releases the trial, if this call has one. */
    endTrial(): void {
        this.trial?.reservation[Symbol.dispose]();
        this.trial = undefined;
    }

    /** Prefers the servers with the fewest calls, so that a crash of one of them ends few. */
    private chooseTrialServer(): placement.PlacementDecision {
        const candidates = this.candidates();
        const untried = this.permitted(candidates).filter(({ server, isSuspected }) => {
            return server.state === "ready" && !isSuspected && !this.triedServers.has(server.id);
        });
        const fewest = Math.min(...untried.map(candidate => candidate.calls));
        const leastBusy = untried.filter(candidate => candidate.calls === fewest);
        const choice = this.chooseServer(leastBusy);
        return choice.kind === "server" ? choice : this.chooseServer(candidates);
    }

    /** Kind of the call's prompt; undefined unless servers are divided between kinds of prompts. */
    get promptKind(): placement.PromptKind | undefined {
        const configuration = this.dividingConfiguration;
        return configuration === undefined
            ? undefined
            : this.ports.promptGroups.kindOf(this.dividedCall, configuration, this.latency);
    }

    /** Counts the call in the demand of its kind of prompts until the result is disposed of. */
    countDemand(choice: ServerChoice, uncachedTokens: number, now: number): Disposable {
        const kind = this.promptKind;
        if (kind === undefined) {
            return { [Symbol.dispose]: () => undefined };
        }
        this.ports.meter.promptPlaced(kind, choice.group ?? "shared");
        const prefillMs = uncachedTokens * this.latency.msPerPromptToken;
        return this.ports.promptGroups.place(this.dividedCall, kind, prefillMs, now);
    }

    private get latency(): placement.LatencyEstimate {
        return this.ports.latencyEstimates.get(this.call.service);
    }

    /** The configuration if the servers of the call are divided between kinds of prompts. */
    private get dividingConfiguration(): fleet.Configuration | undefined {
        const { view, settings } = this.ports;
        const divides = settings.capabilities.contendedServers && this.call.head.model !== undefined
            && view.servesModels(this.call.service);
        return divides ? view.routingTable?.configuration : undefined;
    }

    private get dividedCall(): promptGroups.DividedCall {
        const { head, route, service } = this.call;
        const { targetLatencyMs, priority } = route;
        return { service, promptTokens: head.promptTokens, targetLatencyMs, routePriority: priority };
    }

    /** Servers of the service. Once the call has tried all of them, it may use each of them again. */
    private candidates(): readonly placement.Candidate[] {
        const { head, service } = this.call;
        const candidates = this.ports.view.candidates(service, head.model, this.ports.clock.now());
        const permitted = this.permitted(candidates);
        if (permitted.length > 0 && permitted.every(candidate => this.triedServers.has(candidate.server.id))) {
            this.triedServers.clear();
        }
        return candidates;
    }

    private permitted(candidates: readonly placement.Candidate[]): readonly placement.Candidate[] {
        return candidates.filter(candidate =>
            selection.isPermitted(candidate, { mayRunIn: this.call.homes?.includes })
        );
    }

    /** Chooses among the versions in the order in which a rollout of the service uses them. */
    private chooseServer(all: readonly placement.Candidate[]): placement.PlacementDecision {
        const { head, service } = this.call;
        const now = this.ports.clock.now();
        const group = this.groupAmong(all, now);
        const groups = this.ports.rollouts.groups(service, head.id, all);
        let reasonToWait: placement.PlacementDecision | undefined;
        let decision: placement.PlacementDecision = { kind: "none", reason: "no-server" };
        for (const candidates of groups) {
            decision = this.chooseAmong(candidates, group, now);
            if (decision.kind === "server") {
                return decision;
            }
            // A call need not wait only if it would wait in vain for the servers of each version.
            reasonToWait ??= LASTING_REASONS.has(decision.reason) ? undefined : decision;
        }
        return reasonToWait ?? decision;
    }

    /** The servers for prompts like the call's; undefined while all prompts share the servers. */
    private groupAmong(all: readonly placement.Candidate[], now: number): placement.ServerGroup | undefined {
        const configuration = this.dividingConfiguration;
        return configuration === undefined
            ? undefined
            : this.ports.promptGroups.groupOf(this.dividedCall, all, configuration, this.latency, now);
    }

    /** Assesses the servers in the order in which the call would use them. Decides and reserves nothing. */
    assess(): readonly selection.Assessment[] {
        const { head, service } = this.call;
        const now = this.ports.clock.now();
        const all = this.ports.view.candidates(service, head.model, now);
        const request = this.placementRequest(all, this.groupAmong(all, now), now);
        return this.ports.rollouts.groups(service, head.id, all).flatMap(candidates => {
            return selection.assess(candidates, request, this.latency, this.ports.settings.selection);
        });
    }

    private chooseAmong(
        candidates: readonly placement.Candidate[],
        group: placement.ServerGroup | undefined,
        now: number,
    ): placement.PlacementDecision {
        return selection.chooseServer(
            candidates,
            this.placementRequest(candidates, group, now),
            this.latency,
            this.ports.settings.selection,
            () => this.ports.clock.random(),
        );
    }

    private placementRequest(
        candidates: readonly placement.Candidate[],
        group: placement.ServerGroup | undefined,
        now: number,
    ): placement.PlacementRequest {
        const { head, service, cache } = this.call;
        const { latency } = this;
        const meanPromptTokens = this.ports.demand.meanPromptTokens(service, now);
        return {
            affinityKey: cache.affinityKey,
            prefillingServers: cache.prefillingServers(now),
            sharedTokens: cache.sharedTokens,
            unsharedTokens: Math.max(0, head.promptTokens - cache.sharedTokens),
            expectedOutputTokens: head.expectedOutputTokens,
            triedServers: this.triedServers,
            dataCentre: this.ports.settings.dataCentre,
            mayRunIn: this.call.homes?.includes,
            utilization: this.ports.demand.utilization(service, candidates.length, latency, now),
            meanPromptTokens,
            isShort: head.promptTokens < meanPromptTokens,
            isHttpService: head.model === undefined || !this.ports.view.servesModels(service),
            isContended: this.ports.settings.capabilities.contendedServers,
            group,
        };
    }
}
