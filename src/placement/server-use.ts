/** Calls of this entry at each server, and what the other entries say of theirs. */
import type * as peering from "../peering/types.js";

interface Use {
    calls: number;
    pendingPromptTokens: number;
}

/** A call's part of the use of a server. */
export interface Placement extends Disposable {
    /** The server has read the prompt: its first event arrived. */
    promptRead(): void;
}

export class ServerUse {
    private readonly own = new Map<string, Use>();

    /** Counts a call at a server until it is disposed of. */
    place(server: string, unreadTokens: number): Placement {
        const use = this.own.get(server) ?? { calls: 0, pendingPromptTokens: 0 };
        this.own.set(server, use);
        use.calls++;
        use.pendingPromptTokens += unreadTokens;
        let unread = unreadTokens;
        let isPlaced = true;
        const promptRead = () => {
            use.pendingPromptTokens -= unread;
            unread = 0;
        };
        return {
            promptRead,
            [Symbol.dispose]: () => {
                if (isPlaced) {
                    isPlaced = false;
                    promptRead();
                    use.calls--;
                }
            },
        };
    }

    /** Use by server, for the next beat. */
    snapshot(): Readonly<Record<string, peering.ServerLoad>> {
        return Object.fromEntries(
            [...this.own].filter(([, use]) => use.calls > 0).map(([id, use]) => [id, { ...use }]),
        );
    }

    /** Use of a server by this entry and by the peers whose beats are given. */
    total(server: string, beats: readonly peering.Heartbeat[]): peering.ServerLoad {
        const own = this.own.get(server);
        const peers = beats.map(beat => beat.serverLoads[server]).filter(use => use !== undefined);
        return {
            calls: (own?.calls ?? 0) + peers.reduce((sum, use) => sum + use.calls, 0),
            pendingPromptTokens: (own?.pendingPromptTokens ?? 0) +
                peers.reduce((sum, use) => sum + use.pendingPromptTokens, 0),
        };
    }
}
