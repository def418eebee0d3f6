/** Agent process: monitors the backend server on its instance and has it load new weights. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as loopMonitors from "../event-loop/monitor.js";
import * as textServers from "../http/text-server.js";
import type * as processMemory from "../memory/process-memory.js";
import * as entryStates from "../peering/entry-state.js";
import * as heartbeatExchanges from "../peering/heartbeat-exchange.js";
import * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as copies from "../store-access/kind-copy.js";
import * as watches from "../store-access/kind-watch.js";
import * as restoration from "../store-access/restoration.js";
import * as staggeredWaits from "../store-access/staggered-wait.js";
import type * as rollingUpdates from "../weights/rolling-update.js";
import * as updaters from "../weights/updater.js";
import * as directories from "./member-directory.js";
import * as storeConnections from "./store-connections.js";
import type * as types from "./types.js";

/** Longest long-poll wait in milliseconds; it may be long since the entries' heartbeats announce new weights as well. */
const MAXIMUM_WAIT_MS = 20_000;
/** Time in milliseconds without heartbeats after which an agent no longer counts as a reader of the store. */
const READER_SILENCE_MS = 3000;
/** Heartbeat periods in milliseconds by receiver; a change of the server's state is sent immediately. */
const ENTRY_HEARTBEAT_MS = 400;
const AGENT_HEARTBEAT_MS = 800;
/** Number of peers from which an agent reads changes from stale copies of the store. */
const MINIMUM_PEERS_FOR_STALE_READS = 20;
/** Age in milliseconds up to which the report of another agent's server is used. */
const REPORT_MAXIMUM_AGE_MS = 3500;

export class Agent implements AsyncDisposable {
    private readonly member: peering.Member;
    private readonly members: memberTables.MemberTable;
    private readonly directory: directories.MemberDirectory;
    private readonly updater: updaters.WeightsUpdater;
    private readonly watch: watches.KindWatch;
    private readonly storeConnections: storeConnections.StoreConnections;
    private readonly heartbeats: heartbeatExchanges.HeartbeatExchange;
    private readonly metricsServer: textServers.TextServer;
    private readonly incarnation: string;
    private isLeaving = false;

    constructor(
        private readonly settings: types.ProcessSettings,
        private readonly platform: types.Platform,
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
        memory: processMemory.ProcessMemory,
        loop: loopMonitors.LoopMonitor,
    ) {
        this.metricsServer = new textServers.TextServer({
            "/metrics": () => ({ status: 200, body: memory.renderMetrics() + loop.render() }),
        });
        this.incarnation = clock.identifier();
        this.member = directories.memberOf(settings);
        this.members = new memberTables.MemberTable(settings.name);
        const { members } = this;
        this.directory = new directories.MemberDirectory(this.member, { clock, journal, platform, members });
        const address = settings.serverAddress!;
        this.updater = new updaters.WeightsUpdater({
            clock,
            journal,
            engine: platform.engine(address),
            address,
            isContended: settings.capabilities.contendedServers,
            neighbours: model => this.neighbours(model),
            announce: () => this.heartbeats.sendToAll(),
        });
        // The entries may all be out of reach, so that some agent has to notice silent connections.
        const wait = new staggeredWaits.StaggeredWait({
            intervalMs: settings.changeLimitMs,
            maximumMs: MAXIMUM_WAIT_MS,
        });
        this.watch = new watches.KindWatch(
            {
                kind: platform.kinds.weights,
                waitMs: isFirst => wait.next(this.readers(), isFirst, clock.now())!,
                batchDelayMs: () => 0,
                ownersReregister: false,
                restoration: restoration.byVersion(platform.weightsVersion),
                // Heartbeats of many entries announce new weights sooner than a read of the store.
                mayBeStale: () => this.members.peers().length >= MINIMUM_PEERS_FOR_STALE_READS,
            },
            {
                store: platform.store,
                clock,
                journal,
                onChange: copy => this.adoptWeights(copy),
                onEraChange: () => void this.directory.register(),
                memory: memory.budget,
                onSilentConnection: suspectedAt => this.storeConnections.recordSilence(suspectedAt),
            },
        );
        this.storeConnections = new storeConnections.StoreConnections({
            clock,
            journal,
            self: settings.name,
            watches: () => [this.watch],
            tellPeers: () => this.heartbeats.sendToAll(),
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

    start(): void {
        const { settings, clock, journal } = this;
        void this.metricsServer.listen(settings.metricsAddress, { clock, journal });
        this.heartbeats.start(settings.beatAddress);
        this.updater.start();
        this.watch.start();
        void this.directory.register();
    }

    /** Announces the shutdown to the peers; an agent has no calls to finish. */
    async drain(signal: string): Promise<void> {
        this.isLeaving = true;
        this.journal.emit("process-stopping", { signal, calls: 0 });
        return Promise.resolve();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.directory[Symbol.dispose]();
        await Promise.all([
            this.updater[Symbol.asyncDispose](),
            this.watch[Symbol.asyncDispose](),
            this.heartbeats[Symbol.asyncDispose](),
            this.metricsServer[Symbol.asyncDispose](),
        ]);
    }

    /** State of the other servers that have a version of the model loaded. */
    private neighbours(model: string): readonly rollingUpdates.ServerStatus[] {
        const recent = this.members.recentHeartbeats(this.clock.now(), REPORT_MAXIMUM_AGE_MS);
        const reports = recent.map(({ heartbeat }) => heartbeat.report).filter(report => report !== undefined);
        return reports.filter(report => report.isAlive).flatMap(({ address, isUpdatingWeights, weights }) => {
            const version = weights.find(loaded => loaded.model === model)?.version;
            return version === undefined ? [] : [{ address, version, isUpdatingWeights }];
        });
    }

    /** The live agents, which read the same kind. */
    private readers(): staggeredWaits.Readers {
        const names = this.members.recentHeartbeats(this.clock.now(), READER_SILENCE_MS)
            .map(({ heartbeat }) => heartbeat.member)
            .filter(member => member.role === "agent")
            .map(member => member.name);
        return { count: names.length + 1, rank: names.filter(name => name < this.settings.name).length };
    }

    private receiveHeartbeat(heartbeat: peering.Heartbeat, now: number): void {
        this.storeConnections.applyPeer(heartbeat, now);
        for (const weights of heartbeat.desiredWeights) {
            this.updater.adoptDesiredWeights(weights);
            this.watch.expectEra(weights.position.era);
        }
    }

    private adoptWeights(copy: copies.KindCopy): void {
        const decoded = this.platform.decodeWeights(copy.records(this.clock.now()), copy.position.era);
        for (const { name, reason } of decoded.invalid) {
            this.journal.emit("record-invalid", { kind: this.platform.kinds.weights, record: name, reason });
        }
        decoded.values.forEach(weights => this.updater.adoptDesiredWeights(weights));
    }

    private composeHeartbeat(sequence: number, now: number): peering.Heartbeat {
        return {
            member: this.member,
            incarnation: this.incarnation,
            sequence,
            isLeaving: this.isLeaving,
            ...entryStates.noEntryState,
            ...this.storeConnections.snapshot(now),
            desiredWeights: this.updater.desiredWeights(),
            report: this.updater.report(),
        };
    }
}
