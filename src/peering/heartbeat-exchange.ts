/** Sends and receives heartbeats over UDP. Lost ones are not sent again, since the next carries cumulative totals. */
import * as dgram from "node:dgram";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as codec from "./codec.js";
import type * as memberTables from "./member-table.js";
import type * as types from "./types.js";

/** Interval in milliseconds at which peers due for a heartbeat are looked up; the shortest possible period. */
const TICK_MS = 150;
/**
 * Number of peers up to which the configured periods apply. With more peers the periods grow in proportion, so that the
 * sending rate of a process stays constant.
 */
const MAXIMUM_PEERS_AT_BASE_PERIOD = 40;
/** Time in milliseconds without a heartbeat after which a peer is logged as silent, at the base period. */
const PEER_SILENCE_MS = 2500;

export interface HeartbeatPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly members: memberTables.MemberTable;
    /** Returns the content of the next heartbeat. */
    readonly compose: (sequence: number, now: number) => types.Heartbeat;
    /** Called for each heartbeat that is newer than the last one of its sender. */
    readonly onHeartbeat: (heartbeat: types.Heartbeat, now: number) => void;
    /** Period in milliseconds of the regular heartbeats to a peer. */
    readonly periodMs: (member: types.Member) => number;
}

export class HeartbeatExchange implements AsyncDisposable {
    private readonly socket = dgram.createSocket("udp4");
    private readonly silentPeers = new Set<string>();
    private timer: NodeJS.Timeout | undefined;
    private sequence = 0;
    private readonly lastSentAt = new Map<string, number>();

    constructor(private readonly ports: HeartbeatPorts) {}

    /** Binds IP:PORT and starts sending. */
    start(address: string): void {
        const [host, port] = address.split(":");
        this.socket.on("message", datagram => this.receiveSafely(datagram));
        this.socket.on("error", error => {
            this.ports.journal.emit("peer-send-failed", { peer: "(socket)", reason: error.message });
        });
        this.socket.bind(Number(port), host, () => this.tick());
    }

    /** Sends a heartbeat to all peers immediately, for changes that should not wait for the next period. */
    send(): void {
        this.sendTo(this.ports.members.peers(), this.ports.clock.now());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearTimeout(this.timer);
        this.send();
        await new Promise<void>(resolve => this.socket.close(resolve));
    }

    /** Factor by which the periods are longer than the configured ones. */
    get periodFactor(): number {
        return Math.max(1, this.ports.members.peers().length / MAXIMUM_PEERS_AT_BASE_PERIOD);
    }

    private tick(): void {
        const now = this.ports.clock.now();
        const peers = this.ports.members.peers();
        const { periodFactor } = this;
        const due = peers.filter(peer => {
            const sentAt = this.lastSentAt.get(peer.name) ?? Number.NEGATIVE_INFINITY;
            return now - sentAt > this.ports.periodMs(peer) * periodFactor - TICK_MS / 2;
        });
        if (due.length > 0) {
            this.sendTo(due, now);
        }
        this.logSilentPeers(now);
        this.timer = setTimeout(() => this.tick(), TICK_MS);
    }

    private sendTo(peers: readonly types.Member[], now: number): void {
        const heartbeat = this.ports.compose(this.sequence++, now);
        const datagrams = { entry: codec.encode(heartbeat), agent: codec.encode(withoutEntryState(heartbeat)) };
        for (const peer of peers) {
            this.lastSentAt.set(peer.name, now);
            const [host, port] = peer.beatAddress.split(":");
            this.socket.send(datagrams[peer.role], Number(port), host, error => {
                if (error) {
                    this.ports.journal.emit("peer-send-failed", { peer: peer.name, reason: error.message });
                }
            });
        }
    }

    /** A heartbeat with unexpected content is ignored: the port accepts datagrams from any sender. */
    private receiveSafely(datagram: Buffer): void {
        try {
            this.receive(datagram);
        }
        catch (error) {
            this.ports.journal.emit("heartbeat-invalid", { reason: (error as Error).message });
        }
    }

    private receive(datagram: Buffer): void {
        const heartbeat = codec.decode(datagram);
        const now = this.ports.clock.now();
        if (heartbeat === undefined) {
            return;
        }
        const previous = this.ports.members.lastHeartbeat(heartbeat.member.name);
        if (!this.ports.members.receive(heartbeat, now)) {
            return;
        }
        const wasSilent = this.silentPeers.delete(heartbeat.member.name);
        if (previous?.heartbeat.incarnation !== heartbeat.incarnation || wasSilent) {
            this.ports.journal.emit("peer-heard", { peer: heartbeat.member.name, incarnation: heartbeat.incarnation });
        }
        this.ports.onHeartbeat(heartbeat, now);
    }

    private logSilentPeers(now: number): void {
        const silenceMs = PEER_SILENCE_MS * this.periodFactor;
        for (const member of this.ports.members.peers()) {
            const last = this.ports.members.lastHeartbeat(member.name);
            if (last !== undefined && now - last.receivedAt > silenceMs && !this.silentPeers.has(member.name)) {
                this.silentPeers.add(member.name);
                this.ports.journal.emit("peer-silent", {
                    peer: member.name,
                    silentMs: Math.round(now - last.receivedAt),
                });
            }
        }
    }
}

/**
 * Heartbeat for agents, which use only weights and server reports. The state that entries share would make up most of
 * its size.
 */
function withoutEntryState(heartbeat: types.Heartbeat): types.Heartbeat {
    return { ...heartbeat, changeRevisions: {}, spentTokens: {}, serverLoads: {}, prefills: [], savedParts: [] };
}
