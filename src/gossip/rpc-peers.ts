/** Document exchange with other processes over RPC. */
import * as connect from "@connectrpc/connect";
import type * as incarnations from "../core/incarnation.js";
import * as outcomes from "../core/outcome.js";
import type * as clientPools from "../rpc/client-pool.js";
import * as messages from "../rpc/gen/ibisstep/v1/peer_pb.js";
import * as codec from "./codec.js";
import type * as peers from "./peers.js";

/** A healthy peer responds in milliseconds; a longer timeout would delay the next peer that a round tries. */
const CALL_TIMEOUT_MS = 400;

const OPTIONS: connect.CallOptions = { timeoutMs: CALL_TIMEOUT_MS };

export function createRpcPeers(pool: clientPools.ClientPool, self: incarnations.Incarnation): peers.Peers {
    const client = (address: string) => pool.client(messages.PeerService, address);
    return {
        push: (address, documents) =>
            attempt(address, async () => {
                const request = { sender: self, documents: documents.map(codec.encodeDocument) };
                return codec.decodeDocuments((await client(address).push(request, OPTIONS)).newer);
            }),
        compare: (address, comparison) =>
            attempt(address, async () => {
                const response = await client(address).compare({
                    sender: self,
                    totalHash: comparison.totalHash,
                    buckets: [...comparison.buckets],
                    versions: comparison.versions.map(({ name, version }) => ({ name, version: BigInt(version) })),
                    storeAgeMs: codec.encodeAge(comparison.storeAgeMs),
                }, OPTIONS);
                return {
                    equal: response.equal,
                    bucketHashes: response.bucketHashes,
                    newer: codec.decodeDocuments(response.newer),
                    wanted: response.wanted,
                    storeAgeMs: codec.decodeAge(response.storeAgeMs),
                };
            }),
        fetch: (address, names) =>
            attempt(address, async () => {
                const response = await client(address).fetch({ sender: self, names: [...names] }, OPTIONS);
                return codec.decodeDocuments(response.documents);
            }),
        identify: address =>
            attempt(address, async () => {
                const { incarnation } = await client(address).identify({}, OPTIONS);
                return { address: incarnation?.address ?? "", boot: incarnation?.boot ?? "" };
            }),
    };
}

async function attempt<Value>(address: string, call: () => Promise<Value>): Promise<outcomes.Outcome<Value>> {
    try {
        return outcomes.succeed(await call());
    }
    catch (error) {
        const failure = connect.ConnectError.from(error);
        const kind = failure.code === connect.Code.Unavailable ? "peer-unreachable" : "peer-connection-lost";
        return outcomes.fail(kind, `${address}: ${failure.rawMessage}`);
    }
}
