/** Renews the connections of all watches of a process once one of them, or a peer, has found a silent one. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as peering from "../peering/types.js";
import type * as watches from "../store-access/kind-watch.js";
import * as silenceFindings from "../store-access/silence-findings.js";

export interface StoreConnectionPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Name of this process. */
    readonly self: string;
    readonly watches: () => readonly Pick<watches.KindWatch, "renewConnection">[];
    /** Sends the next heartbeat to all peers at once. */
    readonly tellPeers: () => void;
}

export class StoreConnections {
    private readonly findings = new silenceFindings.SilenceFindings();

    constructor(private readonly ports: StoreConnectionPorts) {}

    /** Records that an own connection was silent; it was suspected at `suspectedAt`, in milliseconds. */
    recordSilence(suspectedAt: number): void {
        this.findings.record(suspectedAt);
        this.renew(suspectedAt, this.ports.self);
        this.ports.tellPeers();
    }

    /** Adopts what a peer found. */
    applyPeer({ member, incarnation, connectionSilence }: peering.Heartbeat, now: number): void {
        if (connectionSilence !== undefined && this.findings.learn(member.name, incarnation, connectionSilence)) {
            this.renew(now - connectionSilence.ageMs, member.name);
        }
    }

    /** Part of the next heartbeat. */
    snapshot(now: number): Pick<peering.Heartbeat, "connectionSilence"> {
        const connectionSilence = this.findings.latest(now);
        return connectionSilence === undefined ? {} : { connectionSilence };
    }

    private renew(openedBefore: number, source: string): void {
        this.ports.journal.emit("store-connections-renewed", { source });
        this.ports.watches().forEach(watch => watch.renewConnection(openedBefore));
    }
}
