/** Runs a stand-in for an external service as a process: reads `--port`, prints the address and exits on SIGTERM. */
import * as util from "node:util";

export interface StandIn extends AsyncDisposable {
    /** `host:port` of the HTTP server. */
    readonly address: string;
}

export async function run(name: string, start: (port: number) => Promise<StandIn>): Promise<void> {
    const { values } = util.parseArgs({ options: { port: { type: "string", default: "0" } } });
    const standIn = await start(Number(values.port));
    process.stdout.write(`${name} ready on ${standIn.address}\n`);
    process.once("SIGTERM", async () => {
        await standIn[Symbol.asyncDispose]();
        process.exit(0);
    });
}
