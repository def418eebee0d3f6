/** An entry's view of the deployment: configuration, servers, weights, agent reports and heartbeats of peers. */
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import type * as peering from "../peering/types.js";
import type * as coldServers from "../placement/cold-servers.js";
import type * as evacuations from "../placement/evacuations.js";
import type * as serverHealth from "../placement/server-health.js";
import type * as serverLimits from "../placement/server-limits.js";
import type * as serverLoads from "../placement/server-load.js";
import * as serverNotices from "../placement/server-notices.js";
import * as statedLoads from "../placement/stated-load.js";
import type * as placement from "../placement/types.js";
import * as desiredVersions from "../weights/desired-versions.js";

/** Maximum age in milliseconds of a heartbeat from which an agent's report on its server is used. */
const MAXIMUM_REPORT_AGE_MS = 2500;
/** Assumed age in milliseconds of the weights versions that the entry finds when it starts. */
const INITIAL_WEIGHTS_AGE_MS = 3000;

interface ReceivedReport {
    readonly report: peering.ServerReport;
    readonly receivedAt: number;
}

export interface ViewPorts {
    readonly serverLoad: Pick<serverLoads.ServerLoadTracker, "totalLoad" | "ownCalls">;
    readonly serverLimits: Pick<serverLimits.ServerLimits, "stateOf" | "retain">;
    readonly serverHealth: serverHealth.ServerHealth;
    /** Undefined where no server is ever cold. */
    readonly coldServers?: Pick<coldServers.ColdServers, "isCold"> | undefined;
    /** Undefined where data centres are never evacuated. */
    readonly evacuations?: Pick<evacuations.Evacuations, "includes" | "isKnown"> | undefined;
    /** The calls that agents report of their servers count as well. */
    readonly usesReportedLoad?: boolean;
}

export class FleetView {
    private routing: routingTables.RoutingTable | undefined;
    private registered: readonly fleet.BackendServer[] = [];
    private servers: readonly fleet.BackendServer[] = [];
    private serversByService: ReadonlyMap<string, readonly fleet.BackendServer[]> = new Map();
    /** Latest report of each agent by the address of its server. */
    private readonly reports = new Map<string, ReceivedReport>();
    private hasServers = false;
    private currentServersRevision = -1;
    private readonly histories = new Map<string, desiredVersions.DesiredVersionHistory>();
    /** Weights versions from response headers, by server id. */
    private readonly observedVersions = new Map<string, number>();
    /** End of the exclusion of servers whose identity or weights did not match, by server id. */
    private readonly mismatchedUntil = new Map<string, number>();
    /** Start of the servers at whose address another one has answered, by server id. */
    private readonly absentStarts = new Map<string, number | undefined>();

    /** What servers stated in their responses. */
    readonly notices = new serverNotices.ServerNotices();
    /** Loads that servers stated in their responses; empty in deployments whose servers are not contended. */
    readonly statedLoads = new statedLoads.StatedLoads();

    constructor(private readonly ports: ViewPorts) {}

    get routingTable(): routingTables.RoutingTable | undefined {
        return this.routing;
    }

    /** The configuration, the servers and the evacuations are known, so that calls can be served. */
    get isComplete(): boolean {
        return this.routing !== undefined && this.hasServers && this.ports.evacuations?.isKnown !== false;
    }

    /** Revision of the store from which the list of servers is; negative if it is unknown. */
    get serversRevision(): number {
        return this.currentServersRevision;
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
    updateServers(servers: readonly fleet.BackendServer[], now: number, revision = -1): void {
        this.currentServersRevision = revision;
        this.registered = servers;
        this.hasServers = true;
        const ids = new Set(servers.map(server => server.id));
        const addresses = new Set(servers.map(server => server.address));
        this.ports.serverHealth.retain(ids, now);
        this.ports.serverLimits.retain(ids);
        this.notices.retain(ids);
        this.statedLoads.retain(ids);
        retain(this.observedVersions, ids);
        retain(this.mismatchedUntil, ids);
        retain(this.reports, addresses);
        retain(this.absentStarts, ids);
        this.leaveOutEarlierIncarnations();
    }

    /** Records an agent's report of its server. */
    applyReport(report: peering.ServerReport, now: number): void {
        this.reports.set(report.address, { report, receivedAt: now });
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

    /** Another server has answered at the address, so that this one no longer hides those with an earlier start there. */
    recordAbsence({ id, startedAt }: fleet.BackendServer): void {
        this.absentStarts.set(id, startedAt);
        this.leaveOutEarlierIncarnations();
    }

    /** Whether a recent report of the agent beside the server states that it works. */
    isReportedAlive(server: fleet.BackendServer, now: number): boolean {
        const report = this.recentReport(server.address, now);
        return report !== undefined && report.isAlive && isSameIncarnation(server, report);
    }

    /** Servers of a service with their current load and state, as input for server selection. */
    candidates(service: string, model: string | undefined, now: number): readonly placement.Candidate[] {
        const modelOfWeights = this.servesModels(service) ? model : undefined;
        const servers = this.serversByService.get(service) ?? [];
        return servers.map(server => this.candidate(server, modelOfWeights, now));
    }

    /** False for a service without engines. Its callers may name a model as well, but no weights are compared. */
    servesModels(service: string): boolean {
        const knownService = this.routing?.configuration.services.get(service);
        return knownService === undefined || knownService.engine !== undefined;
    }

    private leaveOutEarlierIncarnations(): void {
        const isAbsent = ({ id, startedAt }: fleet.BackendServer) => {
            return this.absentStarts.has(id) && this.absentStarts.get(id) === startedAt;
        };
        this.servers = latestIncarnations(this.registered, this.registered.filter(server => !isAbsent(server)));
        this.serversByService = groupByService(this.servers);
    }

    private candidate(server: fleet.BackendServer, model: string | undefined, now: number): placement.Candidate {
        const reportAtAddress = this.recentReport(server.address, now);
        const report = isSameIncarnation(server, reportAtAddress) ? reportAtAddress : undefined;
        const hasLaterIncarnation = reportAtAddress !== undefined &&
            isLaterStart(reportAtAddress.startedAt, server.startedAt);
        const load = this.ports.serverLoad.totalLoad(server.id, now);
        const counted = { total: load.calls, own: this.ports.serverLoad.ownCalls(server.id) };
        const isEngine = this.routing?.configuration.services.get(server.service)?.engine !== undefined;
        const reported = this.ports.usesReportedLoad === true && report !== undefined
            ? { ...report, receivedAt: this.reports.get(server.address)!.receivedAt }
            : undefined;
        const stated = this.statedLoads.stateOf(server, { counted, isEngine, reported }, now);
        const isDead = report !== undefined && !report.isAlive || hasLaterIncarnation;
        const weightsVersion = model === undefined ? undefined : this.weightsVersionOf(server, report, model);
        const history = model === undefined ? undefined : this.histories.get(model);
        return {
            // The registry lists a leaving server as ready until the server has told it, or for good.
            server: this.notices.isLeaving(server) ? { ...server, state: "draining" } : server,
            calls: stated?.calls ?? load.calls,
            pendingPromptTokens: load.pendingPromptTokens,
            weightsVersion,
            outdatedForMs: history?.outdatedForMs(weightsVersion ?? 0, now),
            isUpdatingWeights: report?.isUpdatingWeights === true || now < (this.mismatchedUntil.get(server.id) ?? 0),
            isUpdatePending: report?.isUpdatePending === true,
            isSuspected: isDead || this.ports.serverHealth.isSuspected(server.id, now),
            pauseMs: this.notices.remainingPauseMs(server, now),
            limit: this.ports.serverLimits.stateOf(server.id, now),
            isCold: this.ports.coldServers?.isCold(server.id, now) === true,
            isEvacuated: this.ports.evacuations?.includes(server.dataCentre) === true,
            failureShare: this.ports.serverHealth.failureShare(server.id, now),
            stated,
        };
    }

    private recentReport(address: string, now: number): peering.ServerReport | undefined {
        const received = this.reports.get(address);
        return received !== undefined && now - received.receivedAt <= MAXIMUM_REPORT_AGE_MS
            ? received.report
            : undefined;
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

function groupByService(
    servers: readonly fleet.BackendServer[],
): ReadonlyMap<string, readonly fleet.BackendServer[]> {
    const groups = new Map<string, fleet.BackendServer[]>();
    for (const server of servers) {
        const group = groups.get(server.service) ?? [];
        group.push(server);
        groups.set(server.service, group);
    }
    return groups;
}

function retain(records: Map<string, unknown>, keys: ReadonlySet<string>): void {
    for (const key of records.keys()) {
        if (!keys.has(key)) {
            records.delete(key);
        }
    }
}

/** Whether a report is about this incarnation of the server. Incarnations with an unknown start count as the same. */
function isSameIncarnation(server: fleet.BackendServer, report: peering.ServerReport | undefined): boolean {
    return report?.startedAt === undefined || server.startedAt === undefined || report.startedAt === server.startedAt;
}

/** Leaves out the incarnations at an address that are earlier than a present one. The registry lists them for some seconds. */
function latestIncarnations(
    servers: readonly fleet.BackendServer[],
    present: readonly fleet.BackendServer[],
): readonly fleet.BackendServer[] {
    const latestStart = new Map<string, number>();
    for (const { address, startedAt } of present) {
        if (isLaterStart(startedAt, latestStart.get(address) ?? Number.NEGATIVE_INFINITY)) {
            latestStart.set(address, startedAt!);
        }
    }
    return servers.filter(server => !isLaterStart(latestStart.get(server.address), server.startedAt));
}

function isLaterStart(start: number | undefined, other: number | undefined): boolean {
    return start !== undefined && other !== undefined && start > other;
}
