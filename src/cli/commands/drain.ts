/** `ibisstep drain`: starts the graceful shutdown of one process. */
import * as outcomes from "../../core/outcome.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as output from "../output.js";
import * as processes from "../processes.js";
import type * as types from "../types.js";

const POLL_INTERVAL_MS = 500;

export const command: types.Command = {
    help: `
Usage
  $ ibisstep drain IP:PORT [--wait] [--timeout-ms N] [--json]

Starts the graceful shutdown of the process with this RPC address: it accepts no new work, finishes its requests in
flight and exits. With --wait, the command returns when the process has stopped; its exit code is 5 if the process still
runs after the timeout.

Options
  --wait               wait until the process has stopped
  --timeout-ms N       longest wait in milliseconds (default 120000)
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: {
        ...flags.json,
        wait: { type: "boolean", default: false },
        timeoutMs: { type: "number", default: 120_000 },
    },
    run: async invocation => {
        const [address, ...others] = invocation.input;
        if (address === undefined || others.length > 0) {
            return output.printFailure(invocation, {
                kind: "argument-invalid",
                detail: "expected one address IP:PORT",
            });
        }
        const started = await invocation.services.operations.drain(address);
        if (!started.ok) {
            return output.printFailure(invocation, started.failure);
        }
        const stopped = invocation.flags.wait ? await waitUntilStopped(invocation, address) : outcomes.succeed(false);
        if (!stopped.ok) {
            return output.printFailure(invocation, stopped.failure);
        }
        const text = stopped.value ? "has stopped" : "is draining";
        output.printResult(invocation, { address, stopped: stopped.value }, [`${address} ${text}`]);
        return exitCodes.SUCCESS;
    },
};

async function waitUntilStopped(invocation: types.Invocation, address: string): Promise<outcomes.Outcome<boolean>> {
    const { clock, services, flags: { timeoutMs } } = invocation;
    const deadline = clock.now() + timeoutMs;
    for (;;) {
        const [report] = await processes.queryProcesses(services.operations, [address]);
        if (report.reachability === "stopped") {
            return outcomes.succeed(true);
        }
        if (clock.now() >= deadline) {
            const inFlight = report.status?.requestsInFlight;
            const detail = inFlight === undefined ? "does not answer" : `still has ${inFlight} requests in flight`;
            return outcomes.fail("drain-not-finished", `${address} ${detail}`);
        }
        await clock.sleep(POLL_INTERVAL_MS);
    }
}
