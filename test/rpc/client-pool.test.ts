/** Guards against an unhandled error that ends the process when a connection is dropped while its server closes it. */
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as callFailures from "../../src/rpc/call-failure.js";
import * as clientPools from "../../src/rpc/client-pool.js";
import * as messages from "../../src/rpc/gen/ibisstep/v1/operations_pb.js";
import * as servers from "../../src/rpc/server.js";

/** Event loop turns; the error occurred only if the pool was disposed within a few turns of the GOAWAY frame. */
const MAXIMUM_TURNS = 40;

async function connectedPool() {
    const server = await servers.listen("127.0.0.1:0", () => undefined);
    const pool = new clientPools.ClientPool();
    await assert.rejects(pool.client(messages.OperationsService, server.address).status({}), /unimplemented/);
    return { server, pool };
}

async function waitForTurns(turns: number): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

testing.test("client pool: dropping a connection at any time after the server's GOAWAY frame raises no error", async () => {
    for (let turns = 0; turns < MAXIMUM_TURNS; turns++) {
        const { server, pool } = await connectedPool();
        const closed = server[Symbol.asyncDispose]();
        await waitForTurns(turns);
        await pool[Symbol.asyncDispose]();
        await closed;
    }
    // Waits so that an error raised after the disposal fails this test.
    await waitForTurns(MAXIMUM_TURNS);
});

testing.test("client pool: dropping a connection fails calls that are in flight or wait for the connection", async () => {
    let signalArrival: () => void = () => undefined;
    const arrival = new Promise<void>(resolve => {
        signalArrival = resolve;
    });
    await using server = await servers.listen("127.0.0.1:0", router => {
        router.service(messages.OperationsService, {
            status: () => {
                signalArrival();
                return new Promise<never>(() => undefined);
            },
        });
    });
    await using pool = new clientPools.ClientPool();
    const call = () => pool.client(messages.OperationsService, server.address).status({});
    const inFlight = call().then(() => "answered", error => callFailures.failureOf(error, "").kind);
    await arrival;
    pool.drop(server.address);
    assert.equal(await inFlight, "peer-connection-lost");
    const connecting = call().then(() => "answered", error => callFailures.failureOf(error, "").kind);
    pool.drop(server.address);
    assert.equal(await connecting, "peer-connection-lost");
});

testing.test("client pool: guards against a call without an answer when its connection is dropped while it is established", async () => {
    await using server = await servers.listen("127.0.0.1:0", router => {
        router.service(messages.OperationsService, { status: () => new Promise<never>(() => undefined) });
    });
    for (let turns = 0; turns < MAXIMUM_TURNS; turns++) {
        await using pool = new clientPools.ClientPool();
        const call = pool.client(messages.OperationsService, server.address).status({})
            .then(() => "answered", error => callFailures.failureOf(error, "").kind);
        await waitForTurns(turns);
        pool.drop(server.address);
        assert.equal(await call, "peer-connection-lost", `dropped after ${turns} turns`);
    }
});
