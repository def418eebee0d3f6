/** Guards against documents that are damaged or lost over RPC, or accepted beyond their size limits. */
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as clocks from "../../src/clock/clock.js";
import * as boards from "../../src/daemon/board.js";
import * as codec from "../../src/gossip/codec.js";
import * as responders from "../../src/gossip/responder.js";
import * as rpcPeers from "../../src/gossip/rpc-peers.js";
import * as services from "../../src/gossip/service.js";
import * as tables from "../../src/gossip/table.js";
import * as journals from "../../src/logging/journal.js";
import * as clientPools from "../../src/rpc/client-pool.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/peer_pb.js";
import * as servers from "../../src/rpc/server.js";

const SELF = { address: "127.0.0.1:1", boot: "one" };
const PEER = { address: "127.0.0.1:2", boot: "two" };

testing.test("peer service: push, compare, fetch and identify transfer documents and the age of the store confirmation", async () => {
    const documents = new tables.DocumentTable();
    const board = boards.createBoard();
    const responder = new responders.PeerResponder(PEER, documents, board, clocks.systemClock);
    const service = services.createPeerService(responder, journals.silentJournal);
    await using server = await servers.listen(
        "127.0.0.1:0",
        router => void router.service(messages.PeerService, service),
    );
    await using pool = new clientPools.ClientPool();
    const peers = rpcPeers.createRpcPeers(pool, SELF);
    const manifest = { name: "manifest", version: 2 ** 52, value: { text: "# \u00e9\n" } };
    const comparison = { totalHash: 1, buckets: [], versions: [], storeAgeMs: Number.POSITIVE_INFINITY };

    const pushed = await peers.push(server.address, [manifest, { name: "other", version: 1, value: 1 }]);
    assert.deepEqual(pushed, { ok: true, value: [] });
    assert.deepEqual(documents.list(""), [manifest]);
    assert.deepEqual(await peers.push(server.address, [{ ...manifest, version: 1 }]), { ok: true, value: [manifest] });
    assert.deepEqual(await peers.fetch(server.address, []), { ok: true, value: [manifest] });
    assert.deepEqual(await peers.identify(server.address), { ok: true, value: PEER });
    const compared = await peers.compare(server.address, comparison);
    assert.ok(compared.ok);
    assert.deepEqual(compared.value.bucketHashes, documents.digest().bucketHashes);
    assert.equal(compared.value.storeAgeMs, Number.POSITIVE_INFINITY);
    board.write("storeSeenAt", clocks.systemClock.now());
    const equal = await peers.compare(server.address, { ...comparison, totalHash: documents.digest().totalHash });
    assert.ok(equal.ok && equal.value.equal && Number.isFinite(equal.value.storeAgeMs));
});

testing.test("peer calls: a peer that hangs or refuses the connection causes a typed failure", async () => {
    await using pool = new clientPools.ClientPool();
    const peers = rpcPeers.createRpcPeers(pool, SELF);
    const sockets: net.Socket[] = [];
    const hanging = net.createServer(socket => void sockets.push(socket));
    await new Promise<void>(resolve => hanging.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(hanging.address() as net.AddressInfo).port}`;
    const hung = await peers.fetch(address, []);
    assert.equal(!hung.ok && hung.failure.kind, "peer-connection-lost");
    sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => hanging.close(resolve));
    pool.drop(address);
    const refused = await peers.fetch(address, []);
    assert.equal(!refused.ok && refused.failure.kind, "peer-unreachable");
});

testing.test("documents: an unknown kind, invalid JSON and an oversized value are refused", () => {
    const encoder = new TextEncoder();
    const invalidMessages = [
        { name: "other", version: 1n, value: encoder.encode("1") },
        { name: "manifest", version: 1n, value: encoder.encode("{") },
        { name: "manifest", version: 1n, value: Uint8Array.from([0xff]) },
        { name: "member/a", version: 1n, value: encoder.encode(JSON.stringify("x".repeat(9000))) },
    ];
    for (const message of invalidMessages) {
        const outcome = codec.decodeDocument(message);
        assert.equal(!outcome.ok && outcome.failure.kind, "document-invalid");
    }
});
