/** Probes whether an incarnation is alive, proved dead, or of unknown liveness. */
import * as net from "node:net";
import type * as incarnations from "../core/incarnation.js";
import type * as peers from "../gossip/peers.js";
import * as listings from "./listing.js";
import type * as types from "./types.js";

/** `no-answer` is every failure other than a refused connection; a network partition can cause it too. */
export type ConnectionResult = "accepted" | "refused" | "no-answer";

export type Connect = (address: string) => Promise<ConnectionResult>;

/** Absence from the instance list that proves an unreachable incarnation dead, in milliseconds. */
const DEAD_AFTER_ABSENCE_MS = 3000;
const CONNECT_TIMEOUT_MS = 300;

export interface ProbeOptions {
    readonly connect: Connect;
    readonly peers: Pick<peers.Peers, "identify">;
    readonly listingOf: (address: string) => listings.Listing | undefined;
}

/** Observations of a probe, from which `decide` derives the liveness. */
export interface Observation {
    readonly connection: ConnectionResult;
    /** Boot identifier of the process that responded at the address; undefined when none did. */
    readonly respondingBoot: string | undefined;
    readonly absentForMs: number;
}

/**
 * Derives the liveness from an observation. The operating system accepts connections for a paused process, so an
 * accepted connection without a response proves nothing, even if the instance list no longer has the address.
 */
export function decide(incarnation: incarnations.Incarnation, observation: Observation): types.Liveness {
    if (observation.connection === "refused") {
        return "dead";
    }
    if (observation.connection === "accepted") {
        const { respondingBoot } = observation;
        return respondingBoot === undefined ? "unknown" : respondingBoot === incarnation.boot ? "alive" : "dead";
    }
    return observation.absentForMs >= DEAD_AFTER_ABSENCE_MS ? "dead" : "unknown";
}

export function createLivenessProbe(options: ProbeOptions): types.LivenessProbe {
    return {
        probe: async incarnation => {
            const connection = await options.connect(incarnation.address);
            const identity = connection === "accepted" ? await options.peers.identify(incarnation.address) : undefined;
            return decide(incarnation, {
                connection,
                respondingBoot: identity?.ok ? identity.value.boot : undefined,
                absentForMs: listings.absentForMs(options.listingOf(incarnation.address)),
            });
        },
    };
}

/** Opens and closes a TCP connection to `host:port`. */
export const connectTcp: Connect = address =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = net.connect({ host, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
        const finish = (result: ConnectionResult) => {
            socket.destroy();
            resolve(result);
        };
        socket.once("connect", () => finish("accepted"));
        socket.once("timeout", () => finish("no-answer"));
        socket.once("error", error => {
            finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED" ? "refused" : "no-answer");
        });
    });
