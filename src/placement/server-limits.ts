/** Rates of requests that servers in need name in their responses, for all entries together. */
import type * as event from "../core/event.js";

interface NamedLimit {
    readonly requestsPerSecond: number;
}

export interface LimitPorts {
    readonly journal: event.Journal;
}

export class ServerLimits {
    private readonly limits = new Map<string, NamedLimit>();

    constructor(private readonly ports: LimitPorts) {}

    /** Records the limit that a response of the server names; undefined ends it. */
    recordResponse(server: string, requestsPerSecond: number | undefined): void {
        const known = this.limits.get(server);
        if (known?.requestsPerSecond === requestsPerSecond) {
            return;
        }
        this.ports.journal.emit("server-limit-changed", {
            backendServer: server,
            requestsPerSecond,
            source: "response",
        });
        if (requestsPerSecond === undefined) {
            this.limits.delete(server);
        }
        else {
            this.limits.set(server, { requestsPerSecond });
        }
    }

    /** Requests a second that the server takes from all entries together; undefined without a limit. */
    limitOf(server: string): number | undefined {
        return this.limits.get(server)?.requestsPerSecond;
    }
}
