/** Calls of this entry at each server, and what the other entries say of theirs. */
import type * as peering from "../peering/types.js";

interface Use {
    calls: number;
    unreadTokens: number;
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
        const use = this.own.get(server) ?? { calls: 0, unreadTokens: 0 };
        this.own.set(server, use);
        use.calls++;
        use.unreadTokens += unreadTokens;
        let unread = unreadTokens;
        let isPlaced = true;
        const promptRead = () => {
            use.unreadTokens -= unread;
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
    snapshot(): Readonly<Record<string, peering.ServerUse>> {
        return Object.fromEntries(
            [...this.own].filter(([, use]) => use.calls > 0).map(([id, use]) => [id, { ...use }]),
        );
    }

    /** Use of a server by this entry and by the peers whose beats are given. */
    total(server: string, beats: readonly peering.Beat[]): peering.ServerUse {
        const own = this.own.get(server);
        const peers = beats.map(beat => beat.use[server]).filter(use => use !== undefined);
        return {
            calls: (own?.calls ?? 0) + peers.reduce((sum, use) => sum + use.calls, 0),
            unreadTokens: (own?.unreadTokens ?? 0) + peers.reduce((sum, use) => sum + use.unreadTokens, 0),
        };
    }
}
