/** An entry's view of the deployment: configuration, servers, weights, agent reports and heartbeats of peers. */
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import type * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as serverHealth from "../placement/server-health.js";
import type * as serverLoads from "../placement/server-load.js";
import type * as placement from "../placement/types.js";
import * as desiredVersions from "../weights/desired-versions.js";

/** Maximum age in milliseconds of a heartbeat from which the load of a peer's calls is used. */
const MAXIMUM_LOAD_AGE_MS = 1000;
/** Maximum age in milliseconds of a heartbeat from which an agent's report on its server is used. */
const MAXIMUM_REPORT_AGE_MS = 2500;
/** Assumed age in milliseconds of the weights versions that the entry finds when it starts. */
const INITIAL_WEIGHTS_AGE_MS = 3000;

export interface ViewPorts {
    readonly members: memberTables.MemberTable;
    readonly serverLoad: serverLoads.ServerLoadTracker;
    readonly serverHealth: serverHealth.ServerHealth;
}

export class FleetView {
    private routing: routingTables.RoutingTable | undefined;
    private servers: readonly fleet.BackendServer[] = [];
    private hasServers = false;
    private readonly histories = new Map<string, desiredVersions.DesiredVersionHistory>();
    /** Weights versions from response headers, by server id. */
    private readonly observedVersions = new Map<string, number>();
    /** End of the exclusion of servers whose identity or weights did not match, by server id. */
    private readonly mismatchedUntil = new Map<string, number>();

    constructor(private readonly ports: ViewPorts) {}

    get routingTable(): routingTables.RoutingTable | undefined {
        return this.routing;
    }

    /** The configuration and the servers are known, so that calls can be served. */
    get isComplete(): boolean {
        return this.routing !== undefined && this.hasServers;
    }

    /** Applies a configuration. Returns false, without effect, unless its version is higher than the current one. */
    applyConfiguration(configuration: fleet.Configuration): boolean {
        if (this.routing !== undefined && this.routing.configuration.version >= configuration.version) {
            return false;
        }
        this.routing = routingTables.compile(configuration);
        return true;
    }

    /** Replaces the list of servers. Earlier incarnations at the address of a later one are left out. */
    updateServers(servers: readonly fleet.BackendServer[]): void {
        this.servers = servers.filter(server => !servers.some(other => isLaterIncarnation(other, server)));
        this.hasServers = true;
        const ids = new Set(servers.map(server => server.id));
        this.ports.serverHealth.retain(ids);
        for (const id of this.observedVersions.keys()) {
            if (!ids.has(id)) {
                this.observedVersions.delete(id);
            }
        }
    }

    /** Records desired weights. Returns true if their version is newer than the known ones. */
    recordDesiredWeights(desired: fleet.DesiredWeights, now: number): boolean {
        const history = this.histories.get(desired.model) ??
            new desiredVersions.DesiredVersionHistory(INITIAL_WEIGHTS_AGE_MS);
        this.histories.set(desired.model, history);
        return history.add(desired, now);
    }

    /** Newest desired weights of each model. */
    desiredWeights(): readonly fleet.DesiredWeights[] {
        return [...this.histories.values()].map(history => history.newest).filter(newest => newest !== undefined);
    }

    /** Current servers of all services. */
    listedServers(): readonly fleet.BackendServer[] {
        return this.servers;
    }

    /** Records the weights version that a server stated in a response. */
    recordObservedVersion(serverId: string, version: number): void {
        this.observedVersions.set(serverId, version);
    }

    /** Excludes a server with another identity or other weights than expected, until the given time. */
    recordMismatch(serverId: string, until: number): void {
        this.mismatchedUntil.set(serverId, until);
    }

    /** Servers of a service with their current load and state, as input for server selection. */
    candidates(service: string, model: string | undefined, now: number): readonly placement.Candidate[] {
        const reports = new Map(
            this.ports.members.recentHeartbeats(now, MAXIMUM_REPORT_AGE_MS).flatMap(({ heartbeat }) => {
                return heartbeat.report === undefined ? [] : [[heartbeat.report.address, heartbeat.report] as const];
            }),
        );
        const entryHeartbeats = this.entryHeartbeats(now);
        const modelOfWeights = this.servesModels(service) ? model : undefined;
        return this.servers.filter(server => server.service === service).map(server => {
            const report = reports.get(server.address);
            return this.candidate(server, report, modelOfWeights, entryHeartbeats, now);
        });
    }

    /** False for a service without engines. Its callers may name a model as well, but no weights are compared. */
    servesModels(service: string): boolean {
        const knownService = this.routing?.configuration.services.get(service);
        return knownService === undefined || knownService.engine !== undefined;
    }

    /** Recent heartbeats of the other entries. */
    entryHeartbeats(now: number): readonly peering.Heartbeat[] {
        return this.ports.members.recentHeartbeats(now, MAXIMUM_LOAD_AGE_MS).map(({ heartbeat }) => heartbeat)
            .filter(heartbeat => heartbeat.member.role === "entry");
    }

    private candidate(
        server: fleet.BackendServer,
        reportAtAddress: peering.ServerReport | undefined,
        model: string | undefined,
        entryHeartbeats: readonly peering.Heartbeat[],
        now: number,
    ): placement.Candidate {
        const report = isSameIncarnation(server, reportAtAddress) ? reportAtAddress : undefined;
        const hasLaterIncarnation = reportAtAddress !== undefined &&
            isLaterStart(reportAtAddress.startedAt, server.startedAt);
        const load = this.ports.serverLoad.totalLoad(server.id, entryHeartbeats);
        const isDead = report !== undefined && !report.isAlive || hasLaterIncarnation;
        const weightsVersion = model === undefined ? undefined : this.weightsVersionOf(server, report, model);
        const history = model === undefined ? undefined : this.histories.get(model);
        return {
            server,
            calls: load.calls,
            pendingPromptTokens: load.pendingPromptTokens,
            weightsVersion,
            outdatedForMs: history?.outdatedForMs(weightsVersion ?? 0, now),
            isUpdatingWeights: report?.isUpdatingWeights === true || now < (this.mismatchedUntil.get(server.id) ?? 0),
            isUpdatePending: report?.isUpdatePending === true,
            isSuspected: isDead || this.ports.serverHealth.isSuspected(server.id, now),
            failureShare: this.ports.serverHealth.failureShare(server.id, now),
        };
    }

    /** Version from the report of the server's agent; without one, the newest version from registry and responses. */
    private weightsVersionOf(
        server: fleet.BackendServer,
        report: peering.ServerReport | undefined,
        model: string,
    ): number | undefined {
        const reported = report?.isAlive === true
            ? report.weights.find(weights => weights.model === model)?.version
            : undefined;
        if (reported !== undefined) {
            return reported;
        }
        const known = [server.weights.get(model), this.observedVersions.get(server.id)];
        const versions = known.filter(version => version !== undefined);
        return versions.length === 0 ? undefined : Math.max(...versions);
    }
}

/** Whether a report is about this incarnation of the server. Incarnations with an unknown start count as the same. */
function isSameIncarnation(server: fleet.BackendServer, report: peering.ServerReport | undefined): boolean {
    return report?.startedAt === undefined || server.startedAt === undefined || report.startedAt === server.startedAt;
}

/** Whether `other` is a later incarnation at the same address. The registry lists the earlier one for some seconds. */
function isLaterIncarnation(other: fleet.BackendServer, server: fleet.BackendServer): boolean {
    return other.address === server.address && isLaterStart(other.startedAt, server.startedAt);
}

function isLaterStart(start: number | undefined, other: number | undefined): boolean {
    return start !== undefined && other !== undefined && start > other;
}
