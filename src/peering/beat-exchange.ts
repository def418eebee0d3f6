/** Sends and receives beats over UDP. A lost beat is made up for by the next one, since totals are cumulative. */
import * as dgram from "node:dgram";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as codec from "./codec.js";
import type * as members from "./member-table.js";
import type * as types from "./types.js";

/** Shortest period of beats in milliseconds; longer ones are rounded up to it. */
const TICK_MS = 150;
/** Number of peers up to which the periods are kept; beyond it they grow, so that a process' cost stays the same. */
const PEERS_AT_SHORTEST_PERIOD = 40;
/** Silence in milliseconds that is logged, as a multiple of several periods. */
const SILENCE_MS = 2500;

export interface BeatPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly members: members.MemberTable;
    /** Content of the next beat. */
    readonly compose: (sequence: number, now: number) => types.Beat;
    readonly received: (beat: types.Beat, now: number) => void;
    /** Period in milliseconds of the beats to a peer that brings no news. */
    readonly periodMs: (member: types.Member) => number;
}

export class BeatExchange implements AsyncDisposable {
    private readonly socket = dgram.createSocket("udp4");
    private readonly silent = new Set<string>();
    private timer: NodeJS.Timeout | undefined;
    private sequence = 0;
    private readonly sentAt = new Map<string, number>();

    constructor(private readonly ports: BeatPorts) {}

    /** Binds IP:PORT and starts sending. */
    start(address: string): void {
        const [host, port] = address.split(":");
        this.socket.on("message", datagram => this.receive(datagram));
        this.socket.on("error", error => {
            this.ports.journal.emit("peer-send-failed", { peer: "(socket)", reason: error.message });
        });
        this.socket.bind(Number(port), host, () => this.tick());
    }

    /** Sends a beat to all peers at once, for news that should not wait for the period. */
    send(): void {
        this.sendTo(this.ports.members.others(), this.ports.clock.now());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        clearTimeout(this.timer);
        this.send();
        await new Promise<void>(resolve => this.socket.close(resolve));
    }

    private tick(): void {
        const now = this.ports.clock.now();
        const peers = this.ports.members.others();
        const stretch = Math.max(1, peers.length / PEERS_AT_SHORTEST_PERIOD);
        const due = peers.filter(peer => {
            const sentAt = this.sentAt.get(peer.name) ?? Number.NEGATIVE_INFINITY;
            return now - sentAt > this.ports.periodMs(peer) * stretch - TICK_MS / 2;
        });
        if (due.length > 0) {
            this.sendTo(due, now);
        }
        this.noteSilence(now);
        this.timer = setTimeout(() => this.tick(), TICK_MS);
    }

    private sendTo(peers: readonly types.Member[], now: number): void {
        const beat = this.ports.compose(this.sequence++, now);
        const datagrams = { entry: codec.encode(beat), agent: codec.encode(forAgent(beat)) };
        for (const peer of peers) {
            this.sentAt.set(peer.name, now);
            const [host, port] = peer.beatAddress.split(":");
            this.socket.send(datagrams[peer.role], Number(port), host, error => {
                if (error) {
                    this.ports.journal.emit("peer-send-failed", { peer: peer.name, reason: error.message });
                }
            });
        }
    }

    private receive(datagram: Buffer): void {
        const beat = codec.decode(datagram);
        const now = this.ports.clock.now();
        if (beat === undefined) {
            return;
        }
        const before = this.ports.members.last(beat.member.name);
        if (!this.ports.members.hear(beat, now)) {
            return;
        }
        if (before?.beat.incarnation !== beat.incarnation || this.silent.delete(beat.member.name)) {
            this.ports.journal.emit("peer-heard", { peer: beat.member.name, incarnation: beat.incarnation });
        }
        this.ports.received(beat, now);
    }

    private noteSilence(now: number): void {
        for (const member of this.ports.members.others()) {
            const heard = this.ports.members.last(member.name);
            if (heard !== undefined && now - heard.at > SILENCE_MS && !this.silent.has(member.name)) {
                this.silent.add(member.name);
                this.ports.journal.emit("peer-silent", { peer: member.name, silentMs: Math.round(now - heard.at) });
            }
        }
    }
}

/** Agents need the weights and the state of other servers; what entries share would be most of their traffic. */
function forAgent(beat: types.Beat): types.Beat {
    return { ...beat, changes: {}, spending: {}, use: {}, readings: [] };
}
