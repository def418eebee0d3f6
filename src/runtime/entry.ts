/** Entry process: accepts calls, forwards them to backend servers, and shares state with its peers and the store. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as loopMonitors from "../event-loop/monitor.js";
import type * as fleet from "../fleet/types.js";
import * as connectionPools from "../forwarding/connection-pool.js";
import * as crashDetectors from "../forwarding/crash-detector.js";
import * as entryServers from "../forwarding/entry-server.js";
import * as views from "../forwarding/fleet-view.js";
import * as fragmentPaces from "../forwarding/fragment-pace.js";
import * as placementPreviews from "../forwarding/placement-preview.js";
import * as serviceQueues from "../forwarding/service-queues.js";
import * as serviceRetryBudgets from "../forwarding/service-retry-budgets.js";
import type * as forwarding from "../forwarding/types.js";
import * as textServers from "../http/text-server.js";
import type * as processMemory from "../memory/process-memory.js";
import * as documents from "../peering/documents.js";
import * as heartbeatExchanges from "../peering/heartbeat-exchange.js";
import * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import * as cacheIndexes from "../placement/cache-index.js";
import * as demands from "../placement/demand.js";
import * as latencyEstimates from "../placement/latency-estimates.js";
import * as prefills from "../placement/prefills.js";
import * as promptDemands from "../placement/prompt-demand.js";
import * as promptGroups from "../placement/prompt-groups.js";
import * as serverHealth from "../placement/server-health.js";
import * as serverLimits from "../placement/server-limits.js";
import * as serverLoads from "../placement/server-load.js";
import * as storeFollowers from "../placement/store-followers.js";
import * as transferBudgets from "../placement/transfer-budget.js";
import * as refusalRecords from "../quarantine/refusal-record.js";
import * as suspectTrackers from "../quarantine/suspect-tracker.js";
import * as ledgers from "../quota/ledger.js";
import * as trafficShares from "../quota/traffic-share.js";
import * as rolloutStatuses from "../rollout/rollout-statuses.js";
import * as serviceRollouts from "../rollout/service-rollouts.js";
import type * as copies from "../store-access/kind-copy.js";
import * as descriptors from "./descriptors.js";
import * as entryWatches from "./entry-watches.js";
import * as directories from "./member-directory.js";
import * as meters from "./meter.js";
import * as placementConstraints from "./placement-constraints.js";
import * as storeConnections from "./store-connections.js";
import type * as types from "./types.js";

/** Heartbeat periods in milliseconds by receiver: entries share spent tokens and load, agents need only new weights. */
const ENTRY_HEARTBEAT_MS = 150;
const AGENT_HEARTBEAT_MS = 500;
/** Time in milliseconds until a heartbeat has been received and applied. */
const HEARTBEAT_TRANSIT_MS = 50;
/**
 * Times in milliseconds without heartbeats after which a peer's spending is unknown, at the base period of the
 * heartbeats, and after which it no longer counts.
 */
const PEER_SILENCE_MS = 700;
const PEER_EXPIRY_MS = 30_000;
/** Share of the quota slack that may be overdrawn; the rest covers spending that peers have not yet reported. */
const OVERDRAFT_SHARE = 0.3;
/** Share of a server's connection limit that idle connections may use; the rest is for calls in flight. */
const IDLE_CONNECTIONS_SHARE = 0.5;
/** Time in milliseconds after newer weights became the desired ones from which server selection penalises older ones. */
const OUTDATED_PENALTY_AFTER_MS = 1200;
/** Safety margin in milliseconds before the limit on outdated weights, for calls still in transit to the server. */
const OUTDATED_MARGIN_MS = 2000;
/** Cost in milliseconds that server selection adds to a call to another data centre. */
const CROSS_DATA_CENTRE_COST_MS = 6;
/** Time in milliseconds after the termination signal during which the load balancer may still send new connections. */
const KEEP_ACCEPTING_MS = 2200;
/** Time in milliseconds after the termination signal from which new calls are refused, so that the others can finish. */
const REFUSE_CALLS_AFTER_MS = 2600;
/** Time in milliseconds reserved at the end of the grace period for writing the log and closing connections. */
const SHUTDOWN_MARGIN_MS = 400;
/** Part of the grace period, at its end, in which no call is passed on to a server any more. */
const LAST_ATTEMPT_SHARE = 1 / 6;
/** Time in milliseconds for the last bytes of the answers to calls that were ended with the grace period. */
const LAST_ANSWERS_MS = 200;
/** Interval in milliseconds at which the drain checks for calls in flight. */
const DRAIN_POLL_MS = 50;

export class Entry implements AsyncDisposable {
    private readonly member: peering.Member;
    private readonly members: memberTables.MemberTable;
    private readonly directory: directories.MemberDirectory;
    /** Latest era of the store that a copy has reached. */
    private storeEra = 0;
    private readonly storeConnections: storeConnections.StoreConnections;
    private readonly serverLoad = new serverLoads.ServerLoadTracker();
    private readonly serverLimits: serverLimits.ServerLimits;
    /** Undefined where the deployment has none. */
    private readonly constraints: placementConstraints.PlacementConstraints | undefined;
    private readonly cacheIndex = new cacheIndexes.CacheIndex();
    private readonly promptDemands = new promptDemands.PromptDemands(now => this.quotas.entryCount(now));
    private readonly prefills = new prefills.PrefillTracker();
    private readonly cacheStoreFollowers: storeFollowers.StoreFollowers;
    private readonly view: views.FleetView;
    private readonly quotas: ledgers.QuotaLedger;
    private readonly trafficShare: trafficShares.TrafficShare;
    private readonly queues: serviceQueues.ServiceQueues;
    private readonly connectionPool: connectionPools.ConnectionPool;
    private readonly rollouts: serviceRollouts.ServiceRollouts;
    private readonly rolloutStatuses: rolloutStatuses.RolloutStatuses;
    private readonly suspects: suspectTrackers.SuspectTracker;
    private readonly refusals: refusalRecords.RefusalRecord;
    private readonly meter = new meters.Meter();
    private readonly server: entryServers.EntryServer;
    private readonly readinessServer: textServers.TextServer;
    private readonly metricsServer: textServers.TextServer;
    private readonly watches: entryWatches.EntryWatches;
    private readonly documents: documents.DocumentExchange;
    private readonly heartbeats: heartbeatExchanges.HeartbeatExchange;
    private readonly startedAt: number;
    private readonly incarnation: string;
    private drainingSince: number | undefined;
    private isListening = false;
    private wasReady = false;

    constructor(
        private readonly settings: types.ProcessSettings,
        private readonly platform: types.Platform,
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
        private readonly memory: processMemory.ProcessMemory,
        private readonly loop: loopMonitors.LoopMonitor,
    ) {
        this.startedAt = clock.now();
        this.connectionPool = new connectionPools.ConnectionPool({ clock, recorder: loop });
        this.incarnation = clock.identifier();
        this.member = directories.memberOf(settings);
        this.members = new memberTables.MemberTable(settings.name);
        const { members } = this;
        this.directory = new directories.MemberDirectory(this.member, { clock, journal, platform, members });
        const health = new serverHealth.ServerHealth();
        const silence = {
            silenceMs: () => PEER_SILENCE_MS * this.heartbeats.periodFactor,
            expiryMs: PEER_EXPIRY_MS,
        };
        if (settings.capabilities.placementConstraints) {
            this.constraints = new placementConstraints.PlacementConstraints({
                journal,
                settings,
                now: () => clock.now(),
                service: name => this.view.routingTable?.configuration.services.get(name),
                registeredEntries: () => ({
                    registered: members.peers().filter(({ role }) => role === "entry").length + 1,
                    hasRead: this.directory.hasRead,
                }),
            });
        }
        this.serverLimits = new serverLimits.ServerLimits({
            journal,
            self: settings.name,
            slotMs: () => (ENTRY_HEARTBEAT_MS + HEARTBEAT_TRANSIT_MS) * this.heartbeats.periodFactor,
            ledger: { ...silence, overdraftTokens: 0 },
            cold: this.constraints?.coldLimits,
        });
        this.view = new views.FleetView({
            serverLoad: this.serverLoad,
            serverHealth: health,
            serverLimits: this.serverLimits,
            coldServers: this.constraints?.coldServers,
            evacuations: this.constraints?.evacuations,
            usesReportedLoad: settings.capabilities.contendedServers,
        });
        this.quotas = new ledgers.QuotaLedger({
            ...silence,
            overdraftTokens: settings.quotaSlackTokens * OVERDRAFT_SHARE,
        });
        this.cacheStoreFollowers = new storeFollowers.StoreFollowers({
            clock,
            journal,
            source: platform.cacheChanges,
            index: this.cacheIndex,
            mayFollow: maximumFollowers => this.followerRank() < maximumFollowers,
        });
        this.trafficShare = new trafficShares.TrafficShare(settings.name, now => this.quotas.entryCount(now));
        this.queues = new serviceQueues.ServiceQueues(clock);
        this.suspects = new suspectTrackers.SuspectTracker({
            journal,
            self: settings.name,
            entryCount: now => this.quotas.entryCount(now),
            onUrgentChange: () => this.heartbeats.send(),
            onRefusalsChange: () => this.refusals.update(false),
        });
        this.refusals = new refusalRecords.RefusalRecord({
            clock,
            journal,
            store: platform.store,
            kind: platform.kinds.suspects,
            suspects: this.suspects,
        });
        this.rollouts = new serviceRollouts.ServiceRollouts({
            journal,
            onStageChange: () => this.heartbeats.send(),
        });
        this.rolloutStatuses = new rolloutStatuses.RolloutStatuses({
            clock,
            journal,
            store: platform.store,
            kind: platform.kinds.rollouts,
            rollouts: this.rollouts,
            isCoordinator: () => this.followerRank() === 0,
            encode: (order, state, startedAt) => platform.encodeRolloutStatus(order, state, startedAt),
        });
        const budgetSettings = {
            retriesPerRequest: settings.retryBudgetRatio,
            extraRetriesPerWindow: settings.retrySlack,
        };
        const ports: forwarding.CallPorts = {
            clock,
            journal,
            meter: this.meter,
            dialect: platform.dialect,
            view: this.view,
            serverLoad: this.serverLoad,
            serverLimits: this.serverLimits,
            coldServers: this.constraints?.coldServers,
            cacheIndex: this.cacheIndex,
            prefills: this.prefills,
            demand: new demands.DemandEstimates(now => this.quotas.entryCount(now)),
            promptGroups: new promptGroups.PromptGroups({ journal, demands: this.promptDemands }),
            transferBudget: new transferBudgets.TransferBudget(
                now => this.quotas.entryCount(now),
                settings.capabilities.contendedServers ? now => this.trafficShare.share(now) : undefined,
            ),
            serverHealth: health,
            latencyEstimates: new latencyEstimates.LatencyEstimates(),
            quotas: this.quotas,
            retryBudgets: new serviceRetryBudgets.ServiceRetryBudgets(
                budgetSettings,
                now => this.quotas.entryCount(now),
            ),
            queues: this.queues,
            maximumConnections: descriptors.maximumCallerConnections(settings.descriptorLimit),
            connectionPool: this.connectionPool,
            memory: this.memory.budget,
            fragments: new fragmentPaces.FragmentPace(),
            rollouts: this.rollouts,
            suspects: this.suspects,
            crashes: new crashDetectors.CrashDetector({ clock, suspects: this.suspects }),
            settings: {
                dataCentre: settings.dataCentre,
                selection: {
                    outdatedPenaltyFromMs: OUTDATED_PENALTY_AFTER_MS,
                    outdatedExcludedFromMs: settings.outdatedWeightsLimitMs - OUTDATED_MARGIN_MS,
                    crossDataCentreMs: CROSS_DATA_CENTRE_COST_MS,
                },
                capabilities: settings.capabilities,
                regions: settings.regions,
            },
            isDraining: () => this.isDraining,
            isClosing: () => clock.now() - (this.drainingSince ?? Infinity) >= REFUSE_CALLS_AFTER_MS,
            endsAt: () => this.endsAt,
        };
        this.server = new entryServers.EntryServer(ports);
        this.readinessServer = new textServers.TextServer({
            [platform.readinessPath]: () => ({ status: this.isReady ? 200 : 503, body: "" }),
        });
        this.metricsServer = new textServers.TextServer({
            "/metrics": () => ({ status: 200, body: this.renderMetrics() }),
            "/placement": query => {
                const preview = placementPreviews.preview(ports, placementPreviews.decode(query));
                return { status: 200, body: JSON.stringify(preview) };
            },
        });
        this.watches = entryWatches.createWatches({
            settings,
            platform,
            clock,
            journal,
            members: this.members,
            entryCount: now => this.quotas.entryCount(now),
            memory: memory.budget,
            onEraChange: era => this.enterEra(era),
            onSilentConnection: suspectedAt => this.storeConnections.recordSilence(suspectedAt),
            onChange: {
                configuration: copy => this.adoptConfiguration(copy),
                servers: copy => this.adoptServers(copy),
                weights: copy => this.adoptWeights(copy),
                rollouts: copy => this.adoptRollouts(copy),
                evacuations: copy => this.adoptEvacuations(copy),
                suspects: copy => this.refusals.adopt(copy.records(clock.now())[0]),
            },
        });
        this.storeConnections = new storeConnections.StoreConnections({
            clock,
            journal,
            self: settings.name,
            watches: () => Object.values(this.watches),
            tellPeers: () => this.heartbeats.sendToAll(),
        });
        this.documents = new documents.DocumentExchange({
            clock,
            journal,
            watches: Object.values(this.watches),
            reads: memory.reads,
        });
        this.heartbeats = new heartbeatExchanges.HeartbeatExchange({
            self: this.member,
            clock,
            journal,
            members: this.members,
            compose: (sequence, now) => this.composeHeartbeat(sequence, now),
            onHeartbeat: (heartbeat, now) => this.receiveHeartbeat(heartbeat, now),
            periodMs: member => member.role === "entry" ? ENTRY_HEARTBEAT_MS : AGENT_HEARTBEAT_MS,
        });
    }

    private get isDraining(): boolean {
        return this.drainingSince !== undefined;
    }

    /** Time in milliseconds at which calls in flight are cut off; `Infinity` before the drain. */
    private get endsAt(): number {
        return (this.drainingSince ?? Infinity) + this.settings.shutdownGraceMs - SHUTDOWN_MARGIN_MS;
    }

    /** The entry listens for calls, knows the configuration and the servers, and is not draining. */
    get isReady(): boolean {
        return this.isListening && this.view.isComplete && !this.isDraining;
    }

    /** Returns when all addresses accept connections. */
    async start(): Promise<void> {
        const { settings, clock, journal } = this;
        this.members.add(settings.seeds.filter(seed => seed !== settings.beatAddress).map(seedMember));
        // An address that is in use for a while holds up only what is served there.
        const listening = Promise.all([
            this.listen(),
            this.readinessServer.listen(settings.readinessAddress!, { clock, journal }),
            this.metricsServer.listen(settings.metricsAddress, { clock, journal }),
        ]);
        this.documents.start(settings.documentAddress);
        this.heartbeats.start(settings.beatAddress);
        Object.values(this.watches).forEach(watch => watch.start());
        this.rolloutStatuses.start();
        void this.directory.register();
        await listening;
    }

    private async listen(): Promise<void> {
        await this.server.listen(this.settings.callAddress!);
        this.isListening = true;
        this.updateState();
    }

    /**
     * Fails the readiness check, serves until the load balancer has reacted, and returns when no call is in flight or the
     * grace period ends.
     */
    async drain(signal: string): Promise<void> {
        const startedAt = this.clock.now();
        this.drainingSince = startedAt;
        this.heartbeats.send();
        this.journal.emit("process-stopping", { signal, calls: this.server.callsInFlight });
        const { endsAt } = this;
        await this.clock.sleep(Math.min(KEEP_ACCEPTING_MS, this.settings.shutdownGraceMs / 2));
        this.server.close(this.clock.now());
        const lastAttemptAt = endsAt - this.settings.shutdownGraceMs * LAST_ATTEMPT_SHARE;
        while (this.isBusy && this.clock.now() < endsAt) {
            await this.clock.sleep(DRAIN_POLL_MS);
            this.server.close(this.clock.now());
            if (this.clock.now() >= lastAttemptAt) {
                this.server.endWaitingCalls();
            }
        }
        const calls = this.server.callsInFlight;
        this.server.endCalls();
        while (this.server.isSending && this.clock.now() < endsAt + LAST_ANSWERS_MS) {
            await this.clock.sleep(DRAIN_POLL_MS);
        }
        const elapsedMs = Math.round(this.clock.now() - startedAt);
        this.journal.emit("process-stopped", { elapsedMs, calls });
    }

    private get isBusy(): boolean {
        const { server } = this;
        return server.callsInFlight > 0 || server.isSending || server.awaitsFirstRequest(this.clock.now());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.directory[Symbol.dispose]();
        await this.heartbeats[Symbol.asyncDispose]();
        await Promise.all([
            this.server[Symbol.asyncDispose](),
            this.readinessServer[Symbol.asyncDispose](),
            this.metricsServer[Symbol.asyncDispose](),
            this.documents[Symbol.asyncDispose](),
            this.cacheStoreFollowers[Symbol.asyncDispose](),
            ...Object.values(this.watches).map(watch => watch[Symbol.asyncDispose]()),
            this.refusals[Symbol.asyncDispose](),
            this.rolloutStatuses[Symbol.asyncDispose](),
        ]);
        this.queues[Symbol.dispose]();
        this.connectionPool[Symbol.dispose]();
    }

    /** The store has come back from an older copy of itself: all copies are read again. */
    private enterEra(era: number): void {
        if (era <= this.storeEra) {
            return;
        }
        this.storeEra = era;
        Object.values(this.watches).forEach(watch => watch.expectEra(era));
        void this.directory.register();
    }

    private renderMetrics(): string {
        const waitingAnswers = `ibisstep_answers_waiting_for_callers ${this.server.waitingAnswers}\n`;
        return this.meter.render() + this.renderCopyAges() + this.memory.renderMetrics() + this.loop.render() +
            waitingAnswers
            + (this.constraints?.render() ?? "") + this.server.renderMetrics()
            + `ibisstep_traffic_share ${this.trafficShare.share(this.clock.now())}\n`;
    }

    /** Times since the store last confirmed the copies, in the Prometheus text format. */
    private renderCopyAges(): string {
        const now = this.clock.now();
        const lines = Object.values(this.watches).map(watch => [watch.kind, watch.ageMs(now)] as const)
            .filter(([, ageMs]) => ageMs !== undefined)
            .map(([kind, ageMs]) => `ibisstep_copy_age_ms{kind="${kind}"} ${Math.round(ageMs!)}\n`);
        return lines.join("");
    }

    private adoptConfiguration(copy: copies.KindCopy): void {
        const decoded = this.platform.decodeConfigurations(copy.records(this.clock.now()));
        this.reportInvalid(this.platform.kinds.configuration, decoded.invalid);
        for (const configuration of decoded.values) {
            if (this.view.applyConfiguration(configuration)) {
                this.server.setIdleTimeout(configuration.limits.idleTimeoutMs);
                this.cacheStoreFollowers.follow(configuration.cacheStores);
                this.quotas.track(configuration.customers, this.clock.now());
                this.journal.emit("configuration-in-force", {
                    version: configuration.version,
                    ...copy.position,
                    routes: configuration.routes.length,
                    customers: configuration.customers.length,
                });
            }
        }
        this.updateState();
    }

    private adoptServers(copy: copies.KindCopy): void {
        const now = this.clock.now();
        const decoded = this.platform.decodeServers(copy.records(now));
        this.reportInvalid(this.platform.kinds.servers, decoded.invalid);
        this.constraints?.coldServers.recordServers(decoded.values, { now, wallTime: this.clock.wallTime() });
        this.view.updateServers(decoded.values, now, copy.revision);
        this.rollouts.recordServers(decoded.values);
        this.connectionPool.retain(new Set(decoded.values.map(server => server.address)));
        this.updateState();
    }

    private adoptWeights(copy: copies.KindCopy): void {
        const decoded = this.platform.decodeWeights(copy.records(this.clock.now()), copy.position.era);
        this.reportInvalid(this.platform.kinds.weights, decoded.invalid);
        decoded.values.forEach(weights => this.adoptDesiredWeights(weights));
        this.updateState();
    }

    private adoptRollouts(copy: copies.KindCopy): void {
        const decoded = this.platform.decodeRollouts(copy.records(this.clock.now()));
        this.reportInvalid(this.platform.kinds.rollouts, decoded.invalid);
        this.rollouts.adopt(decoded.values, { now: this.clock.now(), wallTime: this.clock.wallTime() });
        this.rollouts.recordServers(this.view.listedServers());
        this.updateState();
    }

    private adoptEvacuations(copy: copies.KindCopy): void {
        const decoded = this.platform.decodeEvacuations(copy.records(this.clock.now()));
        this.reportInvalid(this.platform.kinds.evacuations, decoded.invalid);
        this.constraints?.adoptEvacuations(decoded);
        this.updateState();
    }

    private adoptDesiredWeights(weights: fleet.DesiredWeights): void {
        if (this.view.recordDesiredWeights(weights, this.clock.now())) {
            const { model, version, position } = weights;
            this.journal.emit("weights-named", { model, version, ...position });
            this.heartbeats.send();
        }
    }

    private reportInvalid(kind: string, invalid: readonly types.InvalidRecord[]): void {
        invalid.forEach(({ name, reason }) => this.journal.emit("record-invalid", { kind, record: name, reason }));
    }

    /** Limits idle connections to this entry's part of the smallest connection limit of the services. */
    private limitIdleConnections(): void {
        const services = [...this.view.routingTable?.configuration.services.values() ?? []];
        const connectionLimit = Math.min(...services.map(service => service.maximumConnections));
        this.connectionPool.setIdleLimit(
            connectionLimit * IDLE_CONNECTIONS_SHARE / this.quotas.entryCount(this.clock.now()),
        );
    }

    /** Applies changed inputs: connection limits, waiting calls and readiness. */
    private updateState(): void {
        this.limitIdleConnections();
        this.queues.dispatch();
        if (this.isReady && !this.wasReady) {
            this.wasReady = true;
            const elapsedMs = Math.round(this.clock.now() - this.startedAt);
            const configuration = this.view.routingTable?.configuration.version;
            this.journal.emit("entry-ready", { elapsedMs, configuration });
            void this.meter.load();
        }
    }

    /** Rank of this entry by name among the live ones. A cache store serves few followers, so only the first follow it. */
    private followerRank(): number {
        const members = this.members.recentHeartbeats(this.clock.now(), PEER_SILENCE_MS * this.heartbeats.periodFactor)
            .map(({ heartbeat }) => heartbeat.member);
        return members.filter(member => member.role === "entry" && member.name < this.settings.name).length;
    }

    private composeHeartbeat(sequence: number, now: number): peering.Heartbeat {
        const changes = Object.values(this.watches).map(watch => [watch.kind, watch.copy.lastChange] as const);
        const spentTokens = this.quotas.spending();
        this.trafficShare.apply(this.settings.name, this.incarnation, spentTokens, now);
        return {
            member: this.member,
            incarnation: this.incarnation,
            sequence,
            isLeaving: this.isDraining,
            lastChanges: Object.fromEntries(changes),
            spentTokens,
            serverLoads: this.serverLoad.snapshot(),
            prefills: this.prefills.snapshot(now),
            savedParts: this.cacheIndex.announcedSaves(now),
            cacheStores: this.cacheStoreFollowers.statuses,
            serverLimits: this.serverLimits.snapshot(now),
            loadStatements: this.view.statedLoads.snapshot(now),
            rollouts: this.rollouts.snapshot(now),
            promptDemands: this.promptDemands.snapshot(now),
            suspects: this.suspects.snapshot(sequence, { now, wallTime: this.clock.wallTime() }),
            ...this.storeConnections.snapshot(now),
            desiredWeights: this.view.desiredWeights(),
            report: undefined,
        };
    }

    private receiveHeartbeat(heartbeat: peering.Heartbeat, now: number): void {
        heartbeat.desiredWeights.forEach(weights => this.adoptDesiredWeights(weights));
        const { name, role } = heartbeat.member;
        if (role === "entry") {
            this.quotas.applyPeerSpending(name, heartbeat.incarnation, heartbeat.spentTokens, now);
            this.trafficShare.apply(name, heartbeat.incarnation, heartbeat.spentTokens, now);
            this.serverLimits.applyPeer(name, heartbeat.incarnation, heartbeat.serverLimits, now);
            this.serverLoad.applyPeer(name, heartbeat.serverLoads, now);
            this.view.statedLoads.applyPeer(heartbeat.loadStatements, id => this.serverLoad.ownCalls(id), now);
            this.prefills.applyPeer(name, heartbeat.prefills, now);
            this.cacheIndex.applyPeerSaves(heartbeat.savedParts, now);
            this.promptDemands.applyPeer(name, heartbeat.promptDemands ?? [], now);
            heartbeat.cacheStores.forEach(status => this.cacheIndex.applyStoreStatus(status, now));
            this.rollouts.applyPeer(name, heartbeat.incarnation, heartbeat.rollouts, now);
            this.suspects.applyPeer(name, heartbeat.suspects, { now, wallTime: this.clock.wallTime() });
            this.documents.compare(heartbeat, now);
        }
        this.storeConnections.applyPeer(heartbeat, now);
        if (heartbeat.report !== undefined) {
            this.view.applyReport(heartbeat.report, now);
        }
    }
}

/** Placeholder for a seed, whose name is unknown until its first heartbeat. */
function seedMember(beatAddress: string): peering.Member {
    return {
        name: `seed ${beatAddress}`,
        role: "entry",
        dataCentre: undefined,
        beatAddress,
        documentAddress: beatAddress,
        serverAddress: undefined,
    };
}
