/** Connections of the command-line tool to the processes and to the platform. */
import * as connect from "@connectrpc/connect";
import type * as clocks from "../clock/clock.js";
import * as outcomes from "../core/outcome.js";
import * as instanceListClients from "../object-api/instance-list-client.js";
import * as objectApiClients from "../object-api/object-api-client.js";
import * as clientPools from "../rpc/client-pool.js";
import * as messages from "../rpc/gen/ibisstep/v1/operations_pb.js";
import type * as types from "./types.js";

const CALL_TIMEOUT_MS = 2000;
const OPTIONS: connect.CallOptions = { timeoutMs: CALL_TIMEOUT_MS };

export class SystemServices implements types.Services, AsyncDisposable {
    private readonly pool = new clientPools.ClientPool();
    private readonly clients: AsyncDisposable[] = [];

    constructor(private readonly clock: clocks.Clock) {}

    readonly operations: types.OperationsClient = {
        status: address => this.callProcess(address, client => client.status({}, OPTIONS)),
        histograms: address => this.callProcess(address, client => client.histograms({}, OPTIONS)),
        drain: address => this.callProcess(address, client => client.drain({}, OPTIONS)),
    };

    objectStore(url: string): objectApiClients.ObjectApiClient {
        const client = new objectApiClients.ObjectApiClient(url, { clock: this.clock });
        this.clients.push(client);
        return client;
    }

    instanceList(url: string): instanceListClients.InstanceListClient {
        const client = new instanceListClients.InstanceListClient(url, this.clock);
        this.clients.push(client);
        return client;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.pool[Symbol.asyncDispose]();
        await Promise.all(this.clients.map(client => client[Symbol.asyncDispose]()));
    }

    private async callProcess<Value>(
        address: string,
        request: (client: connect.Client<typeof messages.OperationsService>) => Promise<Value>,
    ): Promise<outcomes.Outcome<Value>> {
        try {
            return outcomes.succeed(await request(this.pool.client(messages.OperationsService, address)));
        }
        catch (error) {
            // If the connection hangs, a further call on it would time out as well, even once the process has stopped.
            this.pool.drop(address);
            const failure = connect.ConnectError.from(error);
            const isUnreachable = failure.code === connect.Code.Unavailable;
            const kind = isUnreachable ? "peer-unreachable" : "peer-connection-lost";
            return outcomes.fail(kind, `${address}: ${failure.rawMessage}`);
        }
    }
}
