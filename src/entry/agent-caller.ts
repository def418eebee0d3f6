/** Calls agents from an entry and reconciles the configuration versions of both sides. */
import type * as connect from "@connectrpc/connect";
import * as versions from "../configuration/versions.js";
import type * as failures from "../core/failure.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import * as callFailures from "../rpc/call-failure.js";
import type * as clientPools from "../rpc/client-pool.js";
import * as failureCodec from "../rpc/failure-codec.js";
import * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as common from "../rpc/gen/ibisstep/v1/common_pb.js";

/** Attempts per call, the first one included; each repeat requires that a newer configuration was adopted. */
const MAXIMUM_CALLS = 3;

/** Fields common to all responses of an agent. */
interface VersionedResponse {
    readonly failure?: common.Failure;
    readonly manifestVersion: bigint;
}

export interface AgentCallerOptions {
    /** RPC address of this entry. */
    readonly address: string;
    readonly pool: clientPools.ClientPool;
    readonly board: boards.Board;
    /** Fetches and adopts a configuration of at least `version` from one of `addresses`. */
    readonly ensureVersion: (
        version: number,
        addresses: readonly string[],
    ) => Promise<outcomes.Outcome<manifest.Configuration>>;
    /** Reports that the host of a member refused a connection. */
    readonly connectionRefused: (incarnation: incarnations.Incarnation) => void;
}

export interface CallSettings {
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

export type Client = connect.Client<typeof messages.AgentService>;

export class AgentCaller {
    constructor(private readonly options: AgentCallerOptions) {}

    /**
     * Makes a unary call under the configuration in force. When the agent rejects the call because it has a newer
     * configuration, the entry adopts that one and repeats the call, unless the adoption aborted `settings.signal`.
     */
    async call<Response extends VersionedResponse>(
        address: string,
        settings: CallSettings,
        invoke: (client: Client, manifestVersion: bigint, options: connect.CallOptions) => Promise<Response>,
    ): Promise<outcomes.Outcome<Response>> {
        for (let callNumber = 1;; callNumber++) {
            const response = await this.invokeOnce(address, settings, invoke);
            if (!response.ok) {
                return response;
            }
            const failure = response.value.failure === undefined
                ? undefined
                : failureCodec.decode(response.value.failure);
            const canRepeat = await this.adoptNewerConfiguration(
                address,
                Number(response.value.manifestVersion),
                failure,
            );
            if (failure === undefined) {
                return response;
            }
            if (!canRepeat || callNumber >= MAXIMUM_CALLS || settings.signal.aborted) {
                return { ok: false, failure };
            }
        }
    }

    /** Call options; the header lets an agent with an older configuration fetch the newer one from this entry. */
    callOptions(settings: CallSettings): connect.CallOptions {
        return {
            signal: settings.signal,
            timeoutMs: settings.timeoutMs,
            headers: { [versions.CALLER_HEADER]: this.options.address },
        };
    }

    client(address: string): Client {
        return this.options.pool.client(messages.AgentService, address);
    }

    /** Converts the error of a call into a failure, and reports the member when its host refused the connection. */
    failureOf(error: unknown, address: string): failures.Failure {
        const failure = callFailures.failureOf(error, address);
        const member = this.options.board.read("members").get(address);
        if (failure.kind === "peer-unreachable" && member !== undefined) {
            this.options.connectionRefused(member.incarnation);
        }
        return failure;
    }

    /**
     * Adopts the configuration of the agent when it is newer. Returns true when the agent rejected the call as stale and
     * the call can be repeated because the newer configuration is now in force.
     */
    async adoptNewerConfiguration(
        address: string,
        agentVersion: number,
        failure: failures.Failure | undefined,
    ): Promise<boolean> {
        const entryVersion = this.options.board.read("configuration").version;
        const decision = versions.decideAtEntry(entryVersion, agentVersion, failure);
        switch (decision.action) {
            case "continue":
                return false;
            case "fetch":
                void this.options.ensureVersion(decision.version, [address]);
                return false;
            case "fetch-and-authorize":
                return (await this.options.ensureVersion(decision.version, [address])).ok;
        }
    }

    private async invokeOnce<Response extends VersionedResponse>(
        address: string,
        settings: CallSettings,
        invoke: (client: Client, manifestVersion: bigint, options: connect.CallOptions) => Promise<Response>,
    ): Promise<outcomes.Outcome<Response>> {
        const version = BigInt(this.options.board.read("configuration").version);
        try {
            return outcomes.succeed(await invoke(this.client(address), version, this.callOptions(settings)));
        }
        catch (error) {
            return { ok: false, failure: this.failureOf(error, address) };
        }
    }
}
