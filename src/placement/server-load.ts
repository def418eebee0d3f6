/** Load per server: the calls in flight of this entry, and those that the other entries report. */
import type * as peering from "../peering/types.js";

/** Time in milliseconds after which the reported load of a silent peer no longer counts. */
const MAXIMUM_LOAD_AGE_MS = 1000;
const NO_LOAD: peering.ServerLoad = { calls: 0, pendingPromptTokens: 0 };

interface Load {
    calls: number;
    pendingPromptTokens: number;
}

interface PeerLoads {
    readonly byServer: Readonly<Record<string, peering.ServerLoad>>;
    readonly receivedAt: number;
}

/** The load that one call puts on a server, until it is disposed of. */
export interface PlacedCall extends Disposable {
    /** Removes the call's prompt tokens from the load: its first event arrived, so that the server has prefilled them. */
    promptPrefilled(): void;
}

export class ServerLoadTracker {
    private readonly own = new Map<string, Load>();
    /** Latest loads of each peer, the oldest first. */
    private readonly peers = new Map<string, PeerLoads>();
    /** Sum of the peers' loads by server, kept up to date so that a decision does not depend on the number of peers. */
    private readonly peerTotals = new Map<string, Load>();

    /** Counts a call at a server until it is disposed of; the server has to prefill `uncachedTokens` for it. */
    place(server: string, uncachedTokens: number): PlacedCall {
        const load = this.own.get(server) ?? { calls: 0, pendingPromptTokens: 0 };
        this.own.set(server, load);
        load.calls++;
        load.pendingPromptTokens += uncachedTokens;
        let pendingTokens = uncachedTokens;
        let isPlaced = true;
        const promptPrefilled = () => {
            load.pendingPromptTokens -= pendingTokens;
            pendingTokens = 0;
        };
        return {
            promptPrefilled,
            [Symbol.dispose]: () => {
                if (isPlaced) {
                    isPlaced = false;
                    promptPrefilled();
                    load.calls--;
                    if (load.calls === 0) {
                        this.own.delete(server);
                    }
                }
            },
        };
    }

    /** This entry's load by server, for the next heartbeat. */
    snapshot(): Readonly<Record<string, peering.ServerLoad>> {
        return Object.fromEntries([...this.own].map(([id, load]) => [id, { ...load }]));
    }

    /** Replaces the loads of a peer with those of its latest heartbeat. */
    applyPeer(peer: string, byServer: PeerLoads["byServer"], now: number): void {
        this.removePeer(peer);
        if (Object.keys(byServer).length === 0) {
            return;
        }
        this.peers.set(peer, { byServer, receivedAt: now });
        this.addToTotals(byServer, 1);
    }

    /** Calls of this entry in flight at a server. */
    ownCalls(server: string): number {
        return this.own.get(server)?.calls ?? 0;
    }

    /** Load that this entry and its peers put on a server. */
    totalLoad(server: string, now: number): peering.ServerLoad {
        this.removeSilentPeers(now);
        const own = this.own.get(server) ?? NO_LOAD;
        const peers = this.peerTotals.get(server) ?? NO_LOAD;
        return {
            calls: own.calls + peers.calls,
            pendingPromptTokens: own.pendingPromptTokens + peers.pendingPromptTokens,
        };
    }

    private removeSilentPeers(now: number): void {
        for (const [peer, { receivedAt }] of this.peers) {
            if (now - receivedAt <= MAXIMUM_LOAD_AGE_MS) {
                return;
            }
            this.removePeer(peer);
        }
    }

    private removePeer(peer: string): void {
        const known = this.peers.get(peer);
        if (known !== undefined) {
            this.peers.delete(peer);
            this.addToTotals(known.byServer, -1);
        }
    }

    private addToTotals(byServer: PeerLoads["byServer"], sign: 1 | -1): void {
        for (const [server, load] of Object.entries(byServer)) {
            const total = this.peerTotals.get(server) ?? { calls: 0, pendingPromptTokens: 0 };
            total.calls += sign * load.calls;
            total.pendingPromptTokens += sign * load.pendingPromptTokens;
            this.peerTotals.set(server, total);
            if (total.calls === 0 && total.pendingPromptTokens === 0) {
                this.peerTotals.delete(server);
            }
        }
    }
}
