/** Selects servers for generations and learns from their replies. */
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

/** Round trip to an agent of the own data centre and of another one, in milliseconds. */
const LOCAL_ROUND_TRIP_MS = 0.5;
const REMOTE_ROUND_TRIP_MS = 3;

/** What a generation needs to know before a server is selected. */
export interface Demand {
    readonly customer: string;
    readonly model: manifest.Model;
    readonly adapter: string;
    readonly weightsVersion: string;
    readonly prompt: string;
    /** Servers that failed this request. */
    readonly excluded: ReadonlySet<string>;
    /** Server that an agent named in a redirect. */
    readonly preferred: string | undefined;
}

/** One selected server and the best other one. */
export interface Choice {
    readonly address: string;
    readonly model: string;
    readonly alternative: routing.RankedServer | undefined;
    readonly prefix: prefixes.Prefix;
    readonly request: routing.RoutableRequest;
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
    /** By model, because the time to compute a prompt token differs between models. */
    private readonly loads = new Map<string, serverLoads.ServerLoads>();

    constructor(private readonly options: ServerSelectionOptions) {}

    /** Returns undefined when no live server has the weights. */
    select(demand: Demand, attemptId: string, now: number): Choice | undefined {
        const { prefix, request } = routable(demand);
        const { chain, promptTokens } = prefix;
        const candidates = this.available(demand, now);
        const loads = this.loadsOf(demand.model.name);
        const ranked = selection.rankServers(request, candidates, this.index, loads, now, this.options.random());
        const chosen = ranked.find(server => server.address === demand.preferred) ?? ranked[0];
        if (chosen === undefined) {
            return undefined;
        }
        const networkMs = candidates.find(candidate => candidate.address === chosen.address)?.networkMs ?? 0;
        const uncachedTokens = Math.max(0, promptTokens - chosen.expectedCachedTokens);
        loads.recordSent(chosen.address, attemptId, uncachedTokens, networkMs, now);
        this.index.recordSent(chain, chosen.address, now);
        const alternative = ranked.find(server => server.address !== chosen.address);
        return { address: chosen.address, model: demand.model.name, alternative, prefix, request, sentAt: now };
    }

    /**
     * Selects the server that runs a suspect alone; undefined when no live server has the weights. Load and circuits
     * don't count, since they differ between entries and all entries must select the same server.
     */
    selectForTrial(demand: Demand, fingerprint: string, attemptId: string, now: number): Choice | undefined {
        const suspect = this.options.board.read("suspects").get(fingerprint);
        const candidates = this.candidates(demand).map(candidate => ({ ...candidate, id: candidate.address }));
        const chosen = trialServers.rank(fingerprint, suspect, candidates).at(0);
        if (chosen === undefined) {
            return undefined;
        }
        const { prefix, request } = routable(demand);
        this.loadsOf(demand.model.name)
            .recordSent(chosen.address, attemptId, prefix.promptTokens, chosen.networkMs, now);
        const model = demand.model.name;
        return { address: chosen.address, model, alternative: undefined, prefix, request, sentAt: now };
    }

    /** Whether a live server has the weights. */
    isServable(model: manifest.Model, weightsVersion: string): boolean {
        return this.candidates({ model, weightsVersion, excluded: new Set() }).length > 0;
    }

    /** Learns from the first event of a reply. */
    started(
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

    reported(model: string, address: string, load: routing.LoadReport, now: number): void {
        this.loadsOf(model).recordReport(address, load, now);
    }

    /** Notes the end of an attempt, whether or not it started. */
    ended(model: string, address: string, attemptId: string): void {
        this.loadsOf(model).removePending(address, attemptId);
    }

    /** Voids what is known of the cache of a server whose connection broke. */
    lost(address: string, now: number): void {
        this.index.invalidate(address, now);
    }

    /** Drops the state of servers that are no longer members. */
    retain(members: membership.Members): void {
        const addresses = new Set(members.keys());
        this.index.retain(addresses);
        this.loads.forEach(loads => loads.retain(addresses));
    }

    private loadsOf(model: string): serverLoads.ServerLoads {
        const loads = this.loads.get(model) ?? new serverLoads.ServerLoads();
        this.loads.set(model, loads);
        return loads;
    }

    /** Live servers with the weights whose circuit lets a request pass. */
    private available(demand: Demand, now: number): readonly routing.Candidate[] {
        const candidates = this.candidates(demand);
        const available = this.options.health.available(candidates.map(candidate => candidate.address), now);
        return candidates.filter(candidate => available.has(candidate.address));
    }

    private candidates(demand: Pick<Demand, "model" | "weightsVersion" | "excluded">): readonly routing.Candidate[] {
        const { board, dataCentre } = this.options;
        const { backendServers } = board.read("configuration");
        const weights = states.weightsName(demand.model.name, demand.weightsVersion);
        return [...board.read("members").values()].flatMap(member => {
            const server = backendServers.get(member.backendServer);
            const address = member.incarnation.address;
            const isCandidate = member.state === "live"
                && server?.models.includes(demand.model.name) === true
                && member.weights.includes(weights)
                && !demand.excluded.has(address);
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

function routable(demand: Demand): Pick<Choice, "prefix" | "request"> {
    const { pieceTokens } = demand.model;
    const prefix = prefixes.prefixOf({ ...demand, model: demand.model.name }, demand.prompt, pieceTokens);
    return { prefix, request: { chain: prefix.chain, promptTokens: prefix.promptTokens, pieceTokens } };
}
