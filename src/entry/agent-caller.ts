/** Calls of agents by an entry, including the agreement on the configuration. */
import type * as connect from "@connectrpc/connect";
import * as versions from "../configuration/versions.js";
import type * as failures from "../core/failure.js";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as boards from "../daemon/board.js";
import type * as manifest from "../manifest/types.js";
import * as callFailures from "../rpc/call-failure.js";
import type * as pools from "../rpc/client-pool.js";
import * as failureCodec from "../rpc/failure-codec.js";
import * as messages from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as common from "../rpc/gen/ibisstep/v1/common_pb.js";

/** Rounds of agreement on the configuration before the call fails; each round needs another adoption. */
const AGREEMENT_ROUNDS = 3;

/** What each response of an agent has. */
interface Versioned {
    readonly failure?: common.Failure;
    readonly manifestVersion: bigint;
}

export interface AgentCallerOptions {
    /** RPC address of this entry. */
    readonly address: string;
    readonly pool: pools.ClientPool;
    readonly board: boards.Board;
    readonly require: (
        version: number,
        addresses: readonly string[],
    ) => Promise<outcomes.Outcome<manifest.Configuration>>;
    /** Records that the host of a member refused the connection. */
    readonly refused: (incarnation: incarnations.Incarnation) => void;
}

export interface CallSettings {
    readonly timeoutMs: number;
    readonly signal: AbortSignal;
}

export type Client = connect.Client<typeof messages.AgentService>;

export class AgentCaller {
    constructor(private readonly options: AgentCallerOptions) {}

    /**
     * Makes a unary call under the configuration in force. When the agent knows a newer one, the entry adopts it and
     * repeats the call, unless the adoption ended the request (`settings.signal`).
     */
    async call<Response extends Versioned>(
        address: string,
        settings: CallSettings,
        invoke: (client: Client, manifestVersion: bigint, options: connect.CallOptions) => Promise<Response>,
    ): Promise<outcomes.Outcome<Response>> {
        for (let round = 1;; round++) {
            const response = await this.invokeOnce(address, settings, invoke);
            if (!response.ok) {
                return response;
            }
            const failure = response.value.failure === undefined
                ? undefined
                : failureCodec.decode(response.value.failure);
            const agreed = await this.agree(address, Number(response.value.manifestVersion), failure);
            if (failure === undefined) {
                return response;
            }
            if (!agreed || round >= AGREEMENT_ROUNDS || settings.signal.aborted) {
                return { ok: false, failure };
            }
        }
    }

    /** Options of a call; the header lets an agent that is behind fetch the configuration from this entry. */
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

    /** Turns the error of a call into a failure and notes a refused connection as evidence against the member. */
    failureOf(error: unknown, address: string): failures.Failure {
        const failure = callFailures.failureOf(error, address);
        const member = this.options.board.read("members").get(address);
        if (failure.kind === "peer-unreachable" && member !== undefined) {
            this.options.refused(member.incarnation);
        }
        return failure;
    }

    /** Returns true when the call can be repeated because a newer configuration is now in force. */
    async agree(address: string, agentVersion: number, failure: failures.Failure | undefined): Promise<boolean> {
        const entryVersion = this.options.board.read("configuration").version;
        const decision = versions.decideAtEntry(entryVersion, agentVersion, failure);
        switch (decision.action) {
            case "continue":
                return false;
            case "fetch":
                void this.options.require(decision.version, [address]);
                return false;
            case "fetch-and-authorize":
                return (await this.options.require(decision.version, [address])).ok;
        }
    }

    private async invokeOnce<Response extends Versioned>(
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
