/** Selects servers for generations by expected cache hits and load, and updates both from their replies. */
import * as states from "../agent/backend-state.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import type * as membership from "../membership/types.js";
import * as trialServers from "../quarantine/trial-server.js";
import * as prefixIndexes from "../routing/prefix-index.js";
import * as prefixes from "../routing/prefix.js";
import * as selection from "../routing/selection.js";
import * as serverLoads from "../routing/server-loads.js";
import type * as routing from "../routing/types.js";
import type * as serverHealths from "./server-health.js";

/** Assumed round-trip times to agents of the same and of another data centre. */
const LOCAL_ROUND_TRIP_MS = 0.5;
const REMOTE_ROUND_TRIP_MS = 3;

/** Requirements of a generation on its server. */
export interface Requirements {
    readonly customer: string;
    readonly model: manifest.Model;
    readonly adapter: string;
    readonly weightsVersion: string;
    readonly prompt: string;
    /** Servers that failed this request. */
    readonly excluded: ReadonlySet<string>;
    /** Server to which an agent redirected the request. */
    readonly preferred: string | undefined;
}

/** The selected server and the best alternative. */
export interface Choice {
    readonly address: string;
    readonly model: string;
    readonly alternative: routing.RankedServer | undefined;
    readonly prefix: prefixes.Prefix;
    readonly request: routing.RoutableRequest;
    /** Monotonic time in milliseconds. */
    readonly sentAt: number;
}

export interface ServerSelectionOptions {
    readonly board: boards.Board;
    readonly dataCentre: string;
    readonly random: () => number;
    readonly health: serverHealths.ServerHealth;
}

export class ServerSelection {
    private readonly index = new prefixIndexes.PrefixIndex();
    /** By model, since the computing time of a prompt token differs between models. */
    private readonly loads = new Map<string, serverLoads.ServerLoads>();

    constructor(private readonly options: ServerSelectionOptions) {}

    /** Selects a server and records the attempt in its load. Returns undefined when no live server has the weights. */
    select(requirements: Requirements, attemptId: string, now: number): Choice | undefined {
        const { prefix, request } = routableRequest(requirements);
        const { chain, promptTokens } = prefix;
        const candidates = this.availableCandidates(requirements, now);
        const loads = this.loadsOf(requirements.model.name);
        const ranked = selection.rankServers(request, candidates, this.index, loads, now, this.options.random());
        const chosen = ranked.find(server => server.address === requirements.preferred) ?? ranked[0];
        if (chosen === undefined) {
            return undefined;
        }
        const networkMs = candidates.find(candidate => candidate.address === chosen.address)?.networkMs ?? 0;
        const uncachedTokens = Math.max(0, promptTokens - chosen.expectedCachedTokens);
        loads.recordSent(chosen.address, attemptId, uncachedTokens, networkMs, now);
        this.index.recordSent(chain, chosen.address, now);
        const alternative = ranked.find(server => server.address !== chosen.address);
        return { address: chosen.address, model: requirements.model.name, alternative, prefix, request, sentAt: now };
    }

    /**
     * Selects the server on which a request suspected of crashing servers runs alone; undefined when no live server has
     * the weights. Ignores load and circuit breakers, since they differ between entries and all entries must select the
     * same server.
     */
    selectForTrial(
        requirements: Requirements,
        fingerprint: string,
        attemptId: string,
        now: number,
    ): Choice | undefined {
        const suspect = this.options.board.read("suspects").get(fingerprint);
        const candidates = this.candidates(requirements).map(candidate => ({ ...candidate, id: candidate.address }));
        const chosen = trialServers.rank(fingerprint, suspect, candidates).at(0);
        if (chosen === undefined) {
            return undefined;
        }
        const { prefix, request } = routableRequest(requirements);
        this.loadsOf(requirements.model.name)
            .recordSent(chosen.address, attemptId, prefix.promptTokens, chosen.networkMs, now);
        const model = requirements.model.name;
        return { address: chosen.address, model, alternative: undefined, prefix, request, sentAt: now };
    }

    /** Whether a live server has the weights. */
    isServable(model: manifest.Model, weightsVersion: string): boolean {
        return this.candidates({ model, weightsVersion, excluded: new Set() }).length > 0;
    }

    /** Updates the load and the prefix index from the first event of a reply. */
    attemptStarted(
        choice: Choice,
        attemptId: string,
        reply: routing.CacheReport & { readonly load: routing.LoadReport | undefined; },
        now: number,
    ): void {
        const computed = Math.max(0, choice.request.promptTokens - reply.cachedTokens);
        if (reply.load !== undefined) {
            this.loadsOf(choice.model).recordFirstToken(choice.address, attemptId, computed, reply.load, now);
        }
        this.index.recordReply(choice.request, choice.address, reply, choice.sentAt, now);
    }

    loadReported(model: string, address: string, load: routing.LoadReport, now: number): void {
        this.loadsOf(model).recordReport(address, load, now);
    }

    /** Removes an attempt from the load of its server, whether or not it started. */
    attemptEnded(model: string, address: string, attemptId: string): void {
        this.loadsOf(model).removePending(address, attemptId);
    }

    /** Discards the cached prefixes of a server whose connection was lost. */
    connectionLost(address: string, now: number): void {
        this.index.invalidate(address, now);
    }

    /** Removes the state of servers that are no longer members. */
    retainMembers(members: membership.Members): void {
        const addresses = new Set(members.keys());
        this.index.retain(addresses);
        this.loads.forEach(loads => loads.retain(addresses));
    }

    private loadsOf(model: string): serverLoads.ServerLoads {
        const loads = this.loads.get(model) ?? new serverLoads.ServerLoads();
        this.loads.set(model, loads);
        return loads;
    }

    /** Live servers that have the weights and whose circuit breaker admits a request. */
    private availableCandidates(requirements: Requirements, now: number): readonly routing.Candidate[] {
        const candidates = this.candidates(requirements);
        const available = this.options.health.available(candidates.map(candidate => candidate.address), now);
        return candidates.filter(candidate => available.has(candidate.address));
    }

    private candidates(
        requirements: Pick<Requirements, "model" | "weightsVersion" | "excluded">,
    ): readonly routing.Candidate[] {
        const { board, dataCentre } = this.options;
        const { backendServers } = board.read("configuration");
        const weights = states.weightsName(requirements.model.name, requirements.weightsVersion);
        return [...board.read("members").values()].flatMap(member => {
            const server = backendServers.get(member.backendServer);
            const address = member.incarnation.address;
            const isCandidate = member.state === "live"
                && server?.models.includes(requirements.model.name) === true
                && member.weights.includes(weights)
                && !requirements.excluded.has(address);
            return isCandidate
                ? [{
                    address,
                    engineBoot: member.backendBoot,
                    weight: server.weight,
                    networkMs: member.dataCentre === dataCentre ? LOCAL_ROUND_TRIP_MS : REMOTE_ROUND_TRIP_MS,
                }]
                : [];
        });
    }
}

function routableRequest(requirements: Requirements): Pick<Choice, "prefix" | "request"> {
    const { pieceTokens } = requirements.model;
    const prefix = prefixes.prefixOf(
        { ...requirements, model: requirements.model.name },
        requirements.prompt,
        pieceTokens,
    );
    return { prefix, request: { chain: prefix.chain, promptTokens: prefix.promptTokens, pieceTokens } };
}
