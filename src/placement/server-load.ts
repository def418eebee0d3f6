/** Load per server: the calls in flight of this entry, and those that the other entries report. */
import type * as peering from "../peering/types.js";

interface Load {
    calls: number;
    pendingPromptTokens: number;
}

/** The load that one call puts on a server, until it is disposed of. */
export interface PlacedCall extends Disposable {
    /** Removes the call's prompt tokens from the load: its first event arrived, so that the server has prefilled them. */
    promptPrefilled(): void;
}

export class ServerLoadTracker {
    private readonly own = new Map<string, Load>();

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
                }
            },
        };
    }

    /** This entry's load by server, for the next heartbeat. */
    snapshot(): Readonly<Record<string, peering.ServerLoad>> {
        return Object.fromEntries(
            [...this.own].filter(([, load]) => load.calls > 0).map(([id, load]) => [id, { ...load }]),
        );
    }

    /** Load that this entry and the peers with the given heartbeats put on a server. */
    totalLoad(server: string, heartbeats: readonly peering.Heartbeat[]): peering.ServerLoad {
        const own = this.own.get(server);
        const peers = heartbeats.map(heartbeat => heartbeat.serverLoads[server]).filter(load => load !== undefined);
        return {
            calls: (own?.calls ?? 0) + peers.reduce((sum, load) => sum + load.calls, 0),
            pendingPromptTokens: (own?.pendingPromptTokens ?? 0) +
                peers.reduce((sum, load) => sum + load.pendingPromptTokens, 0),
        };
    }
}
