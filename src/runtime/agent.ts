/** Assembles an agent: it follows the backend server beside it and moves it to new weights. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as beats from "../peering/beat-exchange.js";
import * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as copies from "../store-access/kind-copy.js";
import * as watches from "../store-access/kind-watch.js";
import type * as turns from "../weights/turn.js";
import * as updaters from "../weights/updater.js";
import * as directories from "./member-directory.js";
import type * as types from "./types.js";

/** Wait of the watch in milliseconds; the entries' beats name new weights as well. */
const WEIGHTS_WAIT_MS = 20_000;
/** Periods in milliseconds of beats; a change of the server's state is sent at once. */
const ENTRY_PERIOD_MS = 400;
const AGENT_PERIOD_MS = 800;
/** Age in milliseconds up to which a beat tells the state of a neighbouring server. */
const NEIGHBOUR_FRESH_MS = 2500;

export class Agent implements AsyncDisposable {
    private readonly member: peering.Member;
    private readonly members: memberTables.MemberTable;
    private readonly mover: updaters.WeightsUpdater;
    private readonly watch: watches.KindWatch;
    private readonly beats: beats.BeatExchange;
    private readonly stop = new AbortController();
    private readonly incarnation: string;
    private isLeaving = false;

    constructor(
        private readonly settings: types.ProcessSettings,
        private readonly deployment: types.Deployment,
        private readonly clock: clocks.Clock,
        private readonly journal: event.Journal,
    ) {
        this.incarnation = clock.identifier();
        this.member = directories.memberOf(settings);
        this.members = new memberTables.MemberTable(settings.name);
        const address = settings.serverAddress!;
        this.mover = new updaters.WeightsUpdater({
            clock,
            journal,
            engine: deployment.engine(address),
            address,
            neighbours: model => this.neighbours(model),
            announce: () => this.beats.send(),
        });
        this.watch = new watches.KindWatch(
            {
                kind: deployment.kinds.weights,
                waitMs: () => WEIGHTS_WAIT_MS,
                collectMs: () => 0,
                ownersWriteAgain: false,
            },
            { store: deployment.store, clock, journal, changed: copy => this.adoptWeights(copy) },
        );
        this.beats = new beats.BeatExchange({
            clock,
            journal,
            members: this.members,
            compose: sequence => this.composeBeat(sequence),
            received: beat => beat.weights.forEach(weights => this.mover.setDesired(weights)),
            periodMs: member => member.role === "entry" ? ENTRY_PERIOD_MS : AGENT_PERIOD_MS,
        });
    }

    start(): void {
        const { settings } = this;
        this.beats.start(settings.beatAddress);
        this.mover.start();
        this.watch.start();
        const { clock, journal, deployment, members } = this;
        void directories.register(this.member, { clock, journal, deployment, members }, this.stop.signal);
    }

    /** An agent holds no calls; it only tells its end. */
    async drain(signal: string): Promise<void> {
        this.isLeaving = true;
        this.journal.emit("process-stopping", { signal, calls: 0 });
        return Promise.resolve();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.stop.abort();
        await Promise.all([
            this.mover[Symbol.asyncDispose](),
            this.watch[Symbol.asyncDispose](),
            this.beats[Symbol.asyncDispose](),
        ]);
    }

    private neighbours(model: string): readonly turns.ServerStatus[] {
        const heard = this.members.recent(this.clock.now(), NEIGHBOUR_FRESH_MS);
        const reports = heard.map(({ beat }) => beat.report).filter(report => report !== undefined);
        return reports.filter(report => report.isAlive).flatMap(({ address, isMoving, weights }) => {
            const version = weights.find(entry => entry.model === model)?.version;
            return version === undefined ? [] : [{ address, version, isUpdating: isMoving }];
        });
    }

    private adoptWeights(copy: copies.KindCopy): void {
        const decoded = this.deployment.decodeWeights(copy.records(this.clock.now()));
        for (const { name, reason } of decoded.invalid) {
            this.journal.emit("record-invalid", { kind: this.deployment.kinds.weights, record: name, reason });
        }
        decoded.values.forEach(weights => this.mover.setDesired(weights));
    }

    private composeBeat(sequence: number): peering.Beat {
        return {
            member: this.member,
            incarnation: this.incarnation,
            sequence,
            isLeaving: this.isLeaving,
            changes: {},
            spending: {},
            use: {},
            readings: [],
            weights: this.mover.desiredWeights(),
            report: this.mover.report(),
        };
    }
}
