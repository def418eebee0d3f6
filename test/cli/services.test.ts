/** Guards against mistaking a stopped process for a silent one, and against connections that are not closed. */
import * as assert from "node:assert/strict";
import * as net from "node:net";
import * as testing from "node:test";
import * as services from "../../src/cli/services.js";
import * as clocks from "../../src/clock/clock.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/operations_pb.js";
import * as servers from "../../src/rpc/server.js";
import * as objectApis from "../../stand-ins/object-api/object-api.js";

testing.test("services: reach a process and the object API, and tell a stopped process from a silent one", async () => {
    await using api = await objectApis.createObjectApi();
    await using server = await servers.listen(
        "127.0.0.1:0",
        router => void router.service(messages.OperationsService, { status: () => ({ manifestVersion: 7n }) }),
    );
    await using system = new services.SystemServices(clocks.systemClock);
    const answered = await system.operations.status(server.address);
    assert.equal(answered.ok && answered.value.manifestVersion, 7n);
    const store = system.objectStore(`http://${api.address}`);
    assert.deepEqual(await store.put("config/manifest", "", 0), { ok: true, value: 1 });

    const sockets: net.Socket[] = [];
    const silent = net.createServer(socket => void sockets.push(socket));
    await new Promise<void>(resolve => silent.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(silent.address() as net.AddressInfo).port}`;
    const unanswered = await system.operations.status(address);
    assert.equal(!unanswered.ok && unanswered.failure.kind, "peer-connection-lost");
    sockets.forEach(socket => socket.destroy());
    await new Promise(resolve => silent.close(resolve));
    const stopped = await system.operations.drain(address);
    assert.equal(!stopped.ok && stopped.failure.kind, "peer-unreachable");
});
