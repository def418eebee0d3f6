/** Finds out whether a server has crashed after it lost calls, and collects the calls that it had not begun to answer. */
import * as net from "node:net";
import type * as clocks from "../clock/clock.js";
import type * as fleet from "../fleet/types.js";
import type * as suspectTrackers from "../quarantine/suspect-tracker.js";

/** Time in milliseconds within which a server that runs accepts a connection. */
const CONNECT_TIMEOUT_MS = 150;

/** A call whose connection broke before the server began to answer. */
export interface LostCall {
    readonly fingerprints: readonly string[];
    /** Fingerprints for which the call ran as a trial. */
    readonly trials: readonly string[];
}

export interface CrashPorts {
    readonly clock: Pick<clocks.Clock, "now" | "wallTime">;
    readonly suspects: Pick<suspectTrackers.SuspectTracker, "recordCrash">;
    readonly isRefusingConnections?: (address: string) => Promise<boolean>;
}

interface Inquiry {
    readonly calls: LostCall[];
    readonly outcome: Promise<void>;
}

export class CrashDetector {
    private readonly inquiries = new Map<string, Inquiry>();

    constructor(private readonly ports: CrashPorts) {}

    /**
     * Accuses the call if its server has crashed: connections are also reset by servers and links that go on working.
     * Resolves when this is known; calls that one crash ends are accused together.
     */
    report(server: fleet.BackendServer, call: LostCall): Promise<void> {
        const incarnation = incarnationOf(server);
        const current = this.inquiries.get(incarnation);
        if (current !== undefined) {
            current.calls.push(call);
            return current.outcome;
        }
        const calls = [call];
        const outcome = this.inquire(server.address, incarnation, calls);
        this.inquiries.set(incarnation, { calls, outcome });
        return outcome;
    }

    private async inquire(address: string, incarnation: string, calls: readonly LostCall[]): Promise<void> {
        let hasCrashed = false;
        try {
            hasCrashed = await (this.ports.isRefusingConnections ?? isRefusingConnections)(address);
        }
        finally {
            this.inquiries.delete(incarnation);
        }
        if (!hasCrashed) {
            return;
        }
        const { clock, suspects } = this.ports;
        suspects.recordCrash(
            {
                server: incarnation,
                fingerprints: calls.flatMap(call => call.fingerprints),
                trials: new Set(calls.flatMap(call => call.trials)),
            },
            { now: clock.now(), wallTime: clock.wallTime() },
        );
    }
}

/** The same in all entries, and different for each run of a server. */
function incarnationOf({ id, startedAt }: fleet.BackendServer): string {
    return startedAt === undefined ? id : `${id}/${startedAt}`;
}

/** Only a refused connection shows that no server listens; without an answer, the server may be out of reach. */
function isRefusingConnections(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
        const finish = (isRefusing: boolean) => {
            socket.destroy();
            resolve(isRefusing);
        };
        socket.once("connect", () => finish(false));
        socket.once("timeout", () => finish(false));
        socket.once("error", (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED"));
    });
}
