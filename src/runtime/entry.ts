/** Assembles an entry: callers on one side, backend servers on the other, peers and store beside. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as fleet from "../fleet/types.js";
import * as connectionPools from "../forwarding/connection-pool.js";
import * as entryServers from "../forwarding/entry-server.js";
import * as views from "../forwarding/fleet-view.js";
import * as serviceQueues from "../forwarding/service-queues.js";
import * as serviceRetryBudgets from "../forwarding/service-retry-budgets.js";
import type * as calls from "../forwarding/types.js";
import * as textServers from "../http/text-server.js";
import * as beats from "../peering/beat-exchange.js";
import * as documents from "../peering/documents.js";
import * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import * as cacheIndexes from "../placement/cache-index.js";
import * as paces from "../placement/pace.js";
import * as readings from "../placement/readings.js";
import * as uses from "../placement/server-use.js";
import * as followers from "../placement/store-follower.js";
import * as trusts from "../placement/trust.js";
import * as ledgers from "../quota/ledger.js";
import type * as copies from "../store-access/kind-copy.js";
import * as watches from "../store-access/kind-watch.js";
import * as directories from "./member-directory.js";
import * as meters from "./meter.js";
import type * as types from "./types.js";

/**
 * Waits of the watches in milliseconds. A silent connection is noticed after this time, and peers' beats show a newer
 * copy before; a longer wait takes fewer calls.
 */
const WATCH_WAIT_MS = 6000;
/** Pause in milliseconds that collects changes of servers; a leaving server is known long before its bound. */
const SERVERS_COLLECT_MS = 300;
/**
 * Entries up to which these times are kept, and the longest stretch beyond. All entries call the store for each change,
 * and the more there are, the sooner a peer tells of one.
 */
const ENTRIES_AT_SHORTEST_WAIT = 8;
const LONGEST_STRETCH = 3;
/** Periods in milliseconds of beats: entries share spending and load; agents only hear of new weights. */
const ENTRY_PERIOD_MS = 150;
const AGENT_PERIOD_MS = 1000;
/** Silence in milliseconds from which a peer's spending is unknown, and after which the peer is taken to have gone. */
const PEER_SILENCE_MS = 700;
const PEER_FORGOTTEN_MS = 30_000;
/** Part of the quota's slack that may be spent beyond an empty bucket; the rest covers spending not heard of yet. */
const OVERDRAFT_SHARE = 0.3;
/** Share of the connections that a server accepts which may stay idle; the rest is for calls in flight. */
const IDLE_CONNECTIONS_SHARE = 0.5;
/** Age in milliseconds of newer weights from which calls on older ones are worth less. */
const OUTDATED_COSTS_FROM_MS = 1200;
/** Margin in milliseconds before the bound on older weights, for calls that are under way to the server. */
const OUTDATED_MARGIN_MS = 2000;
/** Price of a call that crosses data centres, as milliseconds. */
const CROSSING_MS = 6;
/** Time in milliseconds after the request to stop in which the balancer still sends new connections. */
const KEEP_ACCEPTING_MS = 2200;
/** Time in milliseconds after the request to stop from which calls are turned away, so that the others can finish. */
const TURN_AWAY_AFTER_MS = 2600;
/** Margin in milliseconds before the end of the grace time, for the last lines and connections. */
const END_MARGIN_MS = 400;
const DRAIN_POLL_MS = 50;

export class Entry implements AsyncDisposable {
    private readonly member: peering.Member;
    private readonly members: memberTables.MemberTable;
    private readonly use = new uses.ServerUse();
    private readonly caches = new cacheIndexes.CacheIndex();
    private readonly readings = new readings.Readings();
    private readonly followers = new Map<string, followers.StoreFollower>();
    private readonly view: views.FleetView;
    private readonly quotas: ledgers.QuotaLedger;
    private readonly rooms: serviceQueues.ServiceQueues;
    private readonly pool = new connectionPools.ConnectionPool();
    private readonly meter = new meters.Meter();
    private readonly server: entryServers.EntryServer;
    private readonly readiness: textServers.TextServer;
    private readonly metrics: textServers.TextServer;
    private readonly watches: Readonly<Record<"configuration" | "servers" | "weights", watches.KindWatch>>;
    private readonly documents: documents.DocumentExchange;
    private readonly beats: beats.BeatExchange;
    private readonly stop = new AbortController();
    private readonly startedAt: number;
    private readonly incarnation: string;
    private drainingSince: number | undefined;
    private wasReady = false;

    constructor(
        private readonly settings: types.ProcessSettings,
        private readonly deployment: types.Deployment,
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
    ) {
        this.startedAt = clock.now();
        this.incarnation = clock.identifier();
        this.member = directories.memberOf(settings);
        this.members = new memberTables.MemberTable(settings.name);
        const trust = new trusts.ServerTrust();
        this.view = new views.FleetView({ members: this.members, serverLoad: this.use, serverHealth: trust });
        this.quotas = new ledgers.QuotaLedger({
            overdraftTokens: settings.quotaSlackTokens * OVERDRAFT_SHARE,
            silenceMs: PEER_SILENCE_MS,
            forgetMs: PEER_FORGOTTEN_MS,
        });
        this.rooms = new serviceQueues.ServiceQueues(clock);
        const budgetSettings = { retriesPerRequest: settings.retryShare, extraRetriesPerWindow: settings.retrySlack };
        const ports: calls.CallPorts = {
            clock,
            journal,
            meter: this.meter,
            dialect: deployment.dialect,
            view: this.view,
            serverLoad: this.use,
            cacheIndex: this.caches,
            prefills: this.readings,
            serverHealth: trust,
            latencyEstimates: new paces.PaceTable(),
            quotas: this.quotas,
            retryBudgets: new serviceRetryBudgets.ServiceRetryBudgets(
                budgetSettings,
                now => this.quotas.entryCount(now),
            ),
            queues: this.rooms,
            connectionPool: this.pool,
            settings: {
                dataCentre: settings.dataCentre,
                selection: {
                    outdatedCostsFromMs: OUTDATED_COSTS_FROM_MS,
                    outdatedForbiddenFromMs: settings.outdatedWeightsMs - OUTDATED_MARGIN_MS,
                    crossingMs: CROSSING_MS,
                },
            },
            isDraining: () => this.isDraining,
            isClosing: () => clock.now() - (this.drainingSince ?? Infinity) >= TURN_AWAY_AFTER_MS,
        };
        this.server = new entryServers.EntryServer(ports);
        this.readiness = new textServers.TextServer({
            [deployment.readinessPath]: () => ({ status: this.isReady ? 200 : 503, body: "" }),
        });
        this.metrics = new textServers.TextServer({
            "/metrics": () => ({ status: 200, body: this.meter.render() }),
        });
        this.watches = this.createWatches();
        this.documents = new documents.DocumentExchange({ clock, journal, watches: Object.values(this.watches) });
        this.beats = new beats.BeatExchange({
            clock,
            journal,
            members: this.members,
            compose: sequence => this.composeBeat(sequence),
            received: (beat, now) => this.receiveBeat(beat, now),
            periodMs: member => member.role === "entry" ? ENTRY_PERIOD_MS : AGENT_PERIOD_MS,
        });
    }

    private get isDraining(): boolean {
        return this.drainingSince !== undefined;
    }

    get isReady(): boolean {
        return this.view.isComplete && !this.isDraining;
    }

    async start(): Promise<void> {
        const { settings } = this;
        this.members.learn(settings.seeds.filter(seed => seed !== settings.beatAddress).map(seedMember));
        await Promise.all([
            this.server.listen(settings.callAddress!),
            this.readiness.listen(settings.readinessAddress!),
            this.metrics.listen(settings.metricsAddress),
        ]);
        this.documents.start(settings.documentAddress);
        this.beats.start(settings.beatAddress);
        Object.values(this.watches).forEach(watch => watch.start());
        const { clock, journal, deployment, members } = this;
        void directories.register(this.member, { clock, journal, deployment, members }, this.stop.signal);
    }

    /** Fails readiness, serves until the balancer has noticed, and returns when no call is left or the time is over. */
    async drain(signal: string): Promise<void> {
        const startedAt = this.clock.now();
        this.drainingSince = startedAt;
        this.beats.send();
        this.journal.emit("process-stopping", { signal, calls: this.server.callsInFlight });
        const endsAt = startedAt + this.settings.graceMs - END_MARGIN_MS;
        await this.clock.sleep(Math.min(KEEP_ACCEPTING_MS, this.settings.graceMs / 2));
        this.server.close();
        while (this.server.callsInFlight > 0 && this.clock.now() < endsAt) {
            await this.clock.sleep(DRAIN_POLL_MS);
            this.server.close();
        }
        const elapsedMs = Math.round(this.clock.now() - startedAt);
        this.journal.emit("process-stopped", { elapsedMs, calls: this.server.callsInFlight });
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await this.beats[Symbol.asyncDispose]();
        await Promise.all([
            this.server[Symbol.asyncDispose](),
            this.readiness[Symbol.asyncDispose](),
            this.metrics[Symbol.asyncDispose](),
            this.documents[Symbol.asyncDispose](),
            ...[...this.followers.values()].map(follower => follower[Symbol.asyncDispose]()),
            ...Object.values(this.watches).map(watch => watch[Symbol.asyncDispose]()),
        ]);
        this.rooms[Symbol.dispose]();
        this.pool[Symbol.dispose]();
    }

    private createWatches(): Readonly<Record<"configuration" | "servers" | "weights", watches.KindWatch>> {
        const { kinds, store } = this.deployment;
        const create = (
            kind: string,
            options: Omit<watches.WatchOptions, "kind">,
            changed: (copy: copies.KindCopy) => void,
        ) => {
            const ports = { store, clock: this.clock, journal: this.journal, changed };
            return new watches.KindWatch({ kind, ...options }, ports);
        };
        const waitMs = () => WATCH_WAIT_MS * this.watchStretch;
        return {
            configuration: create(
                kinds.configuration,
                { waitMs, collectMs: () => 0, ownersWriteAgain: false },
                copy => this.adoptConfiguration(copy),
            ),
            servers: create(
                kinds.servers,
                { waitMs, collectMs: () => SERVERS_COLLECT_MS * this.watchStretch, ownersWriteAgain: true },
                copy => this.adoptServers(copy),
            ),
            weights: create(
                kinds.weights,
                { waitMs, collectMs: () => 0, ownersWriteAgain: false },
                copy => this.adoptWeights(copy),
            ),
        };
    }

    private get watchStretch(): number {
        const share = this.quotas.entryCount(this.clock.now()) / ENTRIES_AT_SHORTEST_WAIT;
        return Math.min(LONGEST_STRETCH, Math.max(1, share));
    }

    private adoptConfiguration(copy: copies.KindCopy): void {
        const decoded = this.deployment.decodeConfigurations(copy.records(this.clock.now()));
        this.reportInvalid(this.deployment.kinds.configuration, decoded.invalid);
        for (const configuration of decoded.values) {
            if (this.view.applyConfiguration(configuration)) {
                this.server.setIdleTimeout(configuration.limits.idleTimeoutMs);
                this.followStores(configuration.cacheStores);
                this.quotas.follow(configuration.customers, this.clock.now());
                this.journal.emit("configuration-in-force", {
                    version: configuration.version,
                    revision: copy.revision,
                    routes: configuration.routes.length,
                    customers: configuration.customers.length,
                });
            }
        }
        this.changed();
    }

    private adoptServers(copy: copies.KindCopy): void {
        const decoded = this.deployment.decodeServers(copy.records(this.clock.now()));
        this.reportInvalid(this.deployment.kinds.servers, decoded.invalid);
        this.view.updateServers(decoded.values);
        this.pool.retain(new Set(decoded.values.map(server => server.address)));
        this.changed();
    }

    private adoptWeights(copy: copies.KindCopy): void {
        const decoded = this.deployment.decodeWeights(copy.records(this.clock.now()));
        this.reportInvalid(this.deployment.kinds.weights, decoded.invalid);
        decoded.values.forEach(weights => this.nameWeights(weights));
        this.changed();
    }

    private nameWeights(weights: fleet.NamedWeights): void {
        if (this.view.recordAnnouncedWeights(weights, this.clock.now())) {
            const { model, version, revision } = weights;
            this.journal.emit("weights-named", { model, version, revision });
            this.beats.send();
        }
    }

    private reportInvalid(kind: string, invalid: readonly types.InvalidRecord[]): void {
        invalid.forEach(({ name, reason }) => this.journal.emit("record-invalid", { kind, record: name, reason }));
    }

    /** Each entry keeps its part of the connections that a server accepts. */
    private limitConnections(): void {
        const services = [...this.view.routingTable?.configuration.services.values() ?? []];
        const accepted = Math.min(...services.map(service => service.maximumConnections));
        this.pool.setIdleLimit(accepted * IDLE_CONNECTIONS_SHARE / this.quotas.entryCount(this.clock.now()));
    }

    private changed(): void {
        this.limitConnections();
        this.rooms.dispatch();
        if (this.isReady && !this.wasReady) {
            this.wasReady = true;
            const elapsedMs = Math.round(this.clock.now() - this.startedAt);
            const configuration = this.view.routingTable?.configuration.version;
            this.journal.emit("entry-ready", { elapsedMs, configuration });
            void this.meter.load();
        }
    }

    /** Follows the stores that the configuration names, and no others. */
    private followStores(stores: readonly fleet.CacheStore[]): void {
        for (const [address, follower] of this.followers) {
            if (!stores.some(store => store.address === address)) {
                void follower[Symbol.asyncDispose]();
                this.followers.delete(address);
            }
        }
        for (const { address, maximumFollowers } of stores.filter(store => !this.followers.has(store.address))) {
            const follower = new followers.StoreFollower({
                clock: this.clock,
                journal: this.journal,
                source: this.deployment.cacheChanges,
                index: this.caches,
                address,
                mayFollow: () => this.followerRank() < maximumFollowers,
            });
            this.followers.set(address, follower);
            follower.start();
        }
    }

    /** A store serves few followers at once; the entries whose names come first follow it. */
    private followerRank(): number {
        const heard = this.members.recent(this.clock.now(), PEER_SILENCE_MS).map(({ beat }) => beat.member);
        return heard.filter(member => member.role === "entry" && member.name < this.settings.name).length;
    }

    private composeBeat(sequence: number): peering.Beat {
        const changes = Object.values(this.watches).map(watch => [watch.kind, watch.copy.changedAt] as const);
        return {
            member: this.member,
            incarnation: this.incarnation,
            sequence,
            isLeaving: this.isDraining,
            changes: Object.fromEntries(changes),
            spending: this.quotas.spending(),
            use: this.use.snapshot(),
            readings: this.readings.snapshot(this.clock.now()),
            weights: this.view.newestWeights(),
            report: undefined,
        };
    }

    private receiveBeat(beat: peering.Beat, now: number): void {
        beat.weights.forEach(weights => this.nameWeights(weights));
        if (beat.member.role === "entry") {
            this.quotas.hear(beat.member.name, beat.incarnation, beat.spending, now);
            this.documents.compare(beat, now);
        }
        this.rooms.dispatch();
    }
}

/** A seed is known by its address until its first beat names it. */
function seedMember(beatAddress: string): peering.Member {
    return {
        name: `seed ${beatAddress}`,
        role: "entry",
        beatAddress,
        documentAddress: beatAddress,
        serverAddress: undefined,
    };
}
