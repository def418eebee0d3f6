/** Guards against a process that ends because a connection is dropped while its server closes it. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callFailures from "../../src/rpc/call-failure.js";
import * as pools from "../../src/rpc/client-pool.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/operations_pb.js";
import * as servers from "../../src/rpc/server.js";

/** The error came up only when the pool was disposed within some turns after the GOAWAY frame. */
const TURNS = 40;

async function connected() {
    const server = await servers.listen("127.0.0.1:0", () => undefined);
    const pool = new pools.ClientPool();
    await assert.rejects(pool.client(messages.OperationsService, server.address).status({}), /unimplemented/);
    return { server, pool };
}

async function pass(turns: number): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

testing.test("client pool: dropping a connection at any moment after the server's GOAWAY raises no error", async () => {
    for (let turns = 0; turns < TURNS; turns++) {
        const { server, pool } = await connected();
        const closed = server[Symbol.asyncDispose]();
        await pass(turns);
        await pool[Symbol.asyncDispose]();
        await closed;
    }
    // An error that is raised after the disposal still fails this test.
    await pass(TURNS);
});

testing.test("client pool: dropping a connection fails its calls, whether they wait for it or are in flight", async () => {
    let arrived: () => void = () => undefined;
    const arrival = new Promise<void>(resolve => {
        arrived = resolve;
    });
    await using server = await servers.listen("127.0.0.1:0", router => {
        router.service(messages.OperationsService, {
            status: () => {
                arrived();
                return new Promise<never>(() => undefined);
            },
        });
    });
    await using pool = new pools.ClientPool();
    const call = () => pool.client(messages.OperationsService, server.address).status({});
    const inFlight = call().then(() => "answered", error => callFailures.failureOf(error, "").kind);
    await arrival;
    pool.drop(server.address);
    assert.equal(await inFlight, "peer-connection-lost");
    const connecting = call().then(() => "answered", error => callFailures.failureOf(error, "").kind);
    pool.drop(server.address);
    assert.equal(await connecting, "peer-connection-lost");
});
