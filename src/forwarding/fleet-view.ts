/** What an entry knows of the deployment at a moment: configuration, servers, weights, reports and beats. */
import * as routingTables from "../fleet/routing-table.js";
import type * as fleet from "../fleet/types.js";
import type * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as serverHealth from "../placement/server-health.js";
import type * as serverLoads from "../placement/server-load.js";
import type * as placement from "../placement/types.js";
import * as desiredVersions from "../weights/desired-versions.js";

/** Age in milliseconds up to which a beat tells the use of servers by a peer. */
const USE_FRESH_MS = 1000;
/** Age in milliseconds up to which a beat tells the state of a server. */
const REPORT_FRESH_MS = 2500;
/** Age in milliseconds that weights are taken to have when the entry finds them at its start. */
const AGE_AT_START_MS = 3000;

export interface ViewPorts {
    readonly members: memberTables.MemberTable;
    readonly use: serverLoads.ServerLoadTracker;
    readonly trust: serverHealth.ServerHealth;
}

export class FleetView {
    private routing: routingTables.RoutingTable | undefined;
    private servers: readonly fleet.BackendServer[] = [];
    private serversKnown = false;
    private readonly weights = new Map<string, desiredVersions.DesiredVersionHistory>();
    /** Weights versions that answers showed, by server id. */
    private readonly answeredVersions = new Map<string, number>();
    /** Servers that turned a call away because of its weights, with the end of the time in which they are avoided. */
    private readonly mismatched = new Map<string, number>();

    constructor(private readonly ports: ViewPorts) {}

    get table(): routingTables.RoutingTable | undefined {
        return this.routing;
    }

    /** The view suffices to serve. */
    get isComplete(): boolean {
        return this.routing !== undefined && this.serversKnown;
    }

    /** Adopts a configuration; a lower version never replaces a higher one. */
    adoptConfiguration(configuration: fleet.Configuration): boolean {
        if (this.routing !== undefined && this.routing.configuration.version >= configuration.version) {
            return false;
        }
        this.routing = routingTables.compile(configuration);
        return true;
    }

    adoptServers(servers: readonly fleet.BackendServer[]): void {
        this.servers = servers.filter(server => !servers.some(other => isLaterRun(other, server)));
        this.serversKnown = true;
        const ids = new Set(servers.map(server => server.id));
        this.ports.trust.retain(ids);
        for (const id of this.answeredVersions.keys()) {
            if (!ids.has(id)) {
                this.answeredVersions.delete(id);
            }
        }
    }

    /** Takes over weights that were named. True when they are newer than what was known. */
    nameWeights(named: fleet.DesiredWeights, now: number): boolean {
        const history = this.weights.get(named.model) ?? new desiredVersions.DesiredVersionHistory(AGE_AT_START_MS);
        this.weights.set(named.model, history);
        return history.add(named, now);
    }

    namedWeights(): readonly fleet.DesiredWeights[] {
        return [...this.weights.values()].map(history => history.newest).filter(newest => newest !== undefined);
    }

    listed(): readonly fleet.BackendServer[] {
        return this.servers;
    }

    /** An answer showed the version of a server's weights. */
    sawVersion(server: string, version: number): void {
        this.answeredVersions.set(server, version);
    }

    /** The server has other weights than the call asked for. */
    sawMismatch(server: string, untilMs: number): void {
        this.mismatched.set(server, untilMs);
    }

    candidates(service: string, model: string | undefined, now: number): readonly placement.Candidate[] {
        const reports = new Map(
            this.ports.members.recentHeartbeats(now, REPORT_FRESH_MS).flatMap(({ heartbeat }) => {
                return heartbeat.report === undefined ? [] : [[heartbeat.report.address, heartbeat.report] as const];
            }),
        );
        const entryBeats = this.entryBeats(now);
        const comparedModel = this.servesModels(service) ? model : undefined;
        return this.servers.filter(server => server.service === service).map(server => {
            const report = reports.get(server.address);
            return this.candidate(server, report, comparedModel, entryBeats, now);
        });
    }

    /** False for a service without engines. A caller may name a model there too, but no weights are compared. */
    servesModels(service: string): boolean {
        const known = this.routing?.configuration.services.get(service);
        return known === undefined || known.engine !== undefined;
    }

    /** Fresh beats of the other entries. */
    entryBeats(now: number): readonly peering.Heartbeat[] {
        return this.ports.members.recentHeartbeats(now, USE_FRESH_MS).map(({ heartbeat }) => heartbeat)
            .filter(beat => beat.member.role === "entry");
    }

    private candidate(
        server: fleet.BackendServer,
        reportAtAddress: peering.ServerReport | undefined,
        model: string | undefined,
        entryBeats: readonly peering.Heartbeat[],
        now: number,
    ): placement.Candidate {
        const report = isSameRun(server, reportAtAddress) ? reportAtAddress : undefined;
        const hasLaterRun = reportAtAddress !== undefined && isLaterStart(reportAtAddress.startedAt, server.startedAt);
        const use = this.ports.use.totalLoad(server.id, entryBeats);
        const isDead = report !== undefined && !report.isAlive || hasLaterRun;
        const weightsVersion = model === undefined ? undefined : this.versionOf(server, report, model);
        const history = model === undefined ? undefined : this.weights.get(model);
        return {
            server,
            calls: use.calls,
            pendingPromptTokens: use.pendingPromptTokens,
            weightsVersion,
            outdatedForMs: history?.outdatedForMs(weightsVersion ?? 0, now),
            isUpdatingWeights: report?.isLoadingWeights === true || now < (this.mismatched.get(server.id) ?? 0),
            isWindingDown: report?.loadsWeightsSoon === true,
            isSuspected: isDead || this.ports.trust.isSuspected(server.id, now),
            failureShare: this.ports.trust.failureShare(server.id, now),
        };
    }

    /** The agent beside the server knows best; otherwise the newest that registry or answers have shown. */
    private versionOf(
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
        const known = [server.weights.get(model), this.answeredVersions.get(server.id)];
        const versions = known.filter(version => version !== undefined);
        return versions.length === 0 ? undefined : Math.max(...versions);
    }
}

/** A report of another run of the server says nothing of this one. */
function isSameRun(server: fleet.BackendServer, report: peering.ServerReport | undefined): boolean {
    return report?.startedAt === undefined || server.startedAt === undefined || report.startedAt === server.startedAt;
}

/** The registry lists a server for some seconds after another run has taken over its address. */
function isLaterRun(other: fleet.BackendServer, server: fleet.BackendServer): boolean {
    return other.address === server.address && isLaterStart(other.startedAt, server.startedAt);
}

function isLaterStart(start: number | undefined, other: number | undefined): boolean {
    return start !== undefined && other !== undefined && start > other;
}
