/** Sends and receives heartbeats over UDP. Lost ones are not sent again, since the next carries cumulative totals. */
import * as dgram from "node:dgram";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as codec from "./codec.js";
import * as entryStates from "./entry-state.js";
import * as fanOuts from "./fan-out.js";
import type * as memberTables from "./member-table.js";
import type * as types from "./types.js";

/** Interval in milliseconds at which peers due for a heartbeat are looked up; the shortest possible period. */
const TICK_MS = 150;
/**
 * Number of direct recipients up to which the configured periods apply. With more of them the periods grow in proportion,
 * so that the sending rate of a process stays constant.
 */
const MAXIMUM_RECIPIENTS_AT_BASE_PERIOD = 16;
/** Time in milliseconds between attempts to bind the address. */
const BIND_RETRY_MS = 200;
/** Time in milliseconds without a heartbeat after which an entry no longer counts on another to pass heartbeats on. */
const RELAY_SILENCE_MS = 1500;
/** Time in milliseconds without a heartbeat after which a peer is logged as silent, at the base period. */
const PEER_SILENCE_MS = 2500;

export interface HeartbeatPorts {
    readonly self: types.Member;
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
    /** Heartbeats from other data centres since the last one to the peers of each role in the own one, by sender. */
    private readonly toPassOn: Readonly<Record<types.Role, Map<string, types.Heartbeat>>> = {
        entry: new Map(),
        agent: new Map(),
    };
    private recipients = 0;

    constructor(private readonly ports: HeartbeatPorts) {}

    /** Binds IP:PORT and starts sending. */
    start(address: string): void {
        let isBound = false;
        this.socket.on("message", datagram => this.receiveSafely(datagram));
        this.socket.on("listening", () => {
            isBound = true;
            this.tick();
        });
        this.socket.on("error", error => {
            if (isBound) {
                this.ports.journal.emit("peer-send-failed", { peer: "(socket)", reason: error.message });
                return;
            }
            this.ports.journal.emit("listening-failed", { address, reason: error.message });
            this.timer = setTimeout(() => this.bind(address), BIND_RETRY_MS);
        });
        this.bind(address);
    }

    private bind(address: string): void {
        const [host, port] = address.split(":");
        this.socket.bind(Number(port), host);
    }

    /** Sends a heartbeat at once, for changes that should not wait for the next period. */
    send(): void {
        const now = this.ports.clock.now();
        const { local, relays } = this.fanOut(now);
        this.sendTo([...local, ...relays], now);
    }

    /** Sends a heartbeat to all peers at once, for rare changes that none of them may learn late. */
    sendToAll(): void {
        this.sendTo(this.ports.members.peers(), this.ports.clock.now());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearTimeout(this.timer);
        this.send();
        await new Promise<void>(resolve => this.socket.close(resolve));
    }

    /** Factor by which the periods are longer than the configured ones. */
    get periodFactor(): number {
        return Math.max(1, this.recipients / MAXIMUM_RECIPIENTS_AT_BASE_PERIOD);
    }

    /** An error skips one heartbeat, and not those that follow. */
    private tick(): void {
        try {
            this.sendDue();
        }
        catch (error) {
            const reason = (error as Error).stack ?? String(error);
            this.ports.journal.emit("controller-step-failed", { controller: "heartbeats", reason });
        }
        this.timer = setTimeout(() => this.tick(), TICK_MS);
    }

    private sendDue(): void {
        const now = this.ports.clock.now();
        const { local, relays } = this.fanOut(now);
        this.recipients = local.length + relays.length;
        const { periodFactor } = this;
        const isDue = (peer: types.Member) => {
            const sentAt = this.lastSentAt.get(this.recipientKey(peer)) ?? Number.NEGATIVE_INFINITY;
            return now - sentAt > this.ports.periodMs(peer) * periodFactor - TICK_MS / 2;
        };
        const due = [...local, ...relays].filter(isDue);
        if (due.length > 0) {
            this.sendTo(due, now);
        }
        this.forgetRemovedPeers();
        this.logSilentPeers(now);
    }

    private fanOut(now: number): fanOuts.FanOut {
        return fanOuts.fanOut({
            self: this.ports.self,
            peers: this.ports.members.peers(),
            isLive: peer => this.isLive(peer, now),
            sequence: this.sequence,
        });
    }

    /** The entries of another data centre that pass heartbeats on take turns, so that they count as one recipient. */
    private recipientKey(peer: types.Member): string {
        return this.isRemote(peer) && peer.role === "entry" ? `data centre ${peer.dataCentre}` : peer.name;
    }

    private isRemote({ dataCentre }: types.Member): boolean {
        return dataCentre !== undefined && dataCentre !== this.ports.self.dataCentre;
    }

    private isLive(peer: types.Member, now: number): boolean {
        const last = this.ports.members.lastHeartbeat(peer.name);
        return last !== undefined && !last.heartbeat.isLeaving && now - last.receivedAt <= RELAY_SILENCE_MS;
    }

    private sendTo(peers: readonly types.Member[], now: number): void {
        const heartbeat = this.ports.compose(this.sequence++, now);
        const content = { entry: heartbeat, agent: withoutEntryState(heartbeat) };
        const datagrams = new Map<string, Buffer>();
        const datagramTo = (peer: types.Member): Buffer => {
            const isRemote = this.isRemote(peer);
            const key = `${peer.role} ${isRemote}`;
            // Peers of other data centres get what is passed on from their own entries.
            const passedOn = isRemote ? [] : [...this.toPassOn[peer.role].values()];
            const datagram = datagrams.get(key) ?? codec.encode({ heartbeat: content[peer.role], passedOn });
            datagrams.set(key, datagram);
            return datagram;
        };
        for (const peer of peers) {
            this.lastSentAt.set(this.recipientKey(peer), now);
            this.sendDatagram(datagramTo(peer), peer);
        }
        for (const role of ["entry", "agent"] as const) {
            if (datagrams.has(`${role} false`)) {
                this.toPassOn[role].clear();
            }
        }
    }

    private sendDatagram(datagram: Buffer, peer: types.Member): void {
        const [host, port] = peer.beatAddress.split(":");
        const reportFailure = (error: Error | null) => {
            if (error) {
                this.ports.journal.emit("peer-send-failed", { peer: peer.name, reason: error.message });
            }
        };
        try {
            this.socket.send(datagram, Number(port), host, reportFailure);
        }
        catch (error) {
            reportFailure(error as Error);
        }
    }

    /** A datagram with unexpected content is ignored: the port accepts datagrams from any sender. */
    private receiveSafely(datagram: Buffer): void {
        try {
            const message = codec.decode(datagram);
            if (message === undefined) {
                return;
            }
            const { member, report } = message.heartbeat;
            if (this.receive(message.heartbeat) && this.ports.self.role === "entry" && this.isRemote(member)) {
                this.toPassOn.entry.set(member.name, message.heartbeat);
                if (report !== undefined) {
                    this.toPassOn.agent.set(member.name, message.heartbeat);
                }
            }
            message.passedOn.forEach(heartbeat => this.receive(heartbeat));
        }
        catch (error) {
            this.ports.journal.emit("heartbeat-invalid", { reason: (error as Error).message });
        }
    }

    /** Returns false for a heartbeat that is not newer than the last one of its sender. */
    private receive(heartbeat: types.Heartbeat): boolean {
        const now = this.ports.clock.now();
        const { name } = heartbeat.member;
        if (name === this.ports.self.name) {
            return false;
        }
        const previous = this.ports.members.lastHeartbeat(name);
        if (!this.ports.members.receive(heartbeat, now)) {
            return false;
        }
        const wasSilent = this.silentPeers.delete(name);
        if (previous?.heartbeat.incarnation !== heartbeat.incarnation || wasSilent) {
            this.ports.journal.emit("peer-heard", { peer: name, incarnation: heartbeat.incarnation });
        }
        this.ports.onHeartbeat(heartbeat, now);
        return true;
    }

    /** Drops the state of peers that were replaced. */
    private forgetRemovedPeers(): void {
        if (this.lastSentAt.size <= 2 * this.ports.members.peers().length) {
            return;
        }
        const names = new Set(this.ports.members.peers().map(peer => peer.name));
        for (const name of this.lastSentAt.keys()) {
            if (!names.has(name)) {
                this.lastSentAt.delete(name);
                this.silentPeers.delete(name);
            }
        }
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
    return { ...heartbeat, ...entryStates.noEntryState };
}
