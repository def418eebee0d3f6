/** Finds out whether an incarnation is alive, dead by proof, or neither is known. */
import * as net from "node:net";
import type * as incarnations from "../core/incarnation.js";
import type * as peers from "../gossip/peers.js";
import * as listings from "./listing.js";
import type * as types from "./types.js";

/** `no-answer` covers every failure that is not a refusal, since a partition causes it too. */
export type ConnectionAttempt = "accepted" | "refused" | "no-answer";

export type Connect = (address: string) => Promise<ConnectionAttempt>;

/** Absence from the instance list that proves death, in milliseconds. */
const ABSENCE_PROOF_MS = 3000;
const CONNECT_TIMEOUT_MS = 300;

export interface ProbeOptions {
    readonly connect: Connect;
    readonly peers: Pick<peers.Peers, "identify">;
    readonly listingOf: (address: string) => listings.Listing | undefined;
}

/** What a probe observed; a pure decision follows from it. */
export interface Observation {
    readonly connection: ConnectionAttempt;
    /** Boot identifier that answered at the address; undefined when none did. */
    readonly answeringBoot: string | undefined;
    readonly absentForMs: number;
}

/**
 * Decides from an observation. An accepted connection without an answer is what a paused process shows, so it proves
 * nothing, even if the instance list no longer has the address.
 */
export function decide(incarnation: incarnations.Incarnation, observation: Observation): types.Liveness {
    if (observation.connection === "refused") {
        return "dead";
    }
    if (observation.connection === "accepted") {
        const { answeringBoot } = observation;
        return answeringBoot === undefined ? "unknown" : answeringBoot === incarnation.boot ? "alive" : "dead";
    }
    return observation.absentForMs >= ABSENCE_PROOF_MS ? "dead" : "unknown";
}

export function createLivenessProbe(options: ProbeOptions): types.LivenessProbe {
    return {
        probe: async incarnation => {
            const connection = await options.connect(incarnation.address);
            const answer = connection === "accepted" ? await options.peers.identify(incarnation.address) : undefined;
            return decide(incarnation, {
                connection,
                answeringBoot: answer?.ok ? answer.value.boot : undefined,
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
        const finish = (attempt: ConnectionAttempt) => {
            socket.destroy();
            resolve(attempt);
        };
        socket.once("connect", () => finish("accepted"));
        socket.once("timeout", () => finish("no-answer"));
        socket.once("error", error => {
            finish((error as NodeJS.ErrnoException).code === "ECONNREFUSED" ? "refused" : "no-answer");
        });
    });
