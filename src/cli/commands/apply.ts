/** `ibisstep apply`: stores a manifest as the accepted version and waits until it is in force everywhere. */
import * as adoption from "../../configuration/adoption.js";
import * as outcomes from "../../core/outcome.js";
import * as confirmedWrites from "../../object-api/confirmed-write.js";
import * as objectApi from "../../object-api/types.js";
import * as exitCodes from "../exit-codes.js";
import * as flags from "../flags.js";
import * as manifestFile from "../manifest-file.js";
import * as output from "../output.js";
import * as processes from "../processes.js";
import type * as types from "../types.js";

const WRITE_ATTEMPTS = 4;
const POLL_INTERVAL_MS = 200;

export const command: types.Command = {
    help: `
Usage
  $ ibisstep apply FILE --object-api URL (--seed IP:PORT | --instance-list URL | --no-wait) [options]

Checks the manifest in FILE and writes it to the object API unless it was changed concurrently. Then waits until it is
in force in every process, and lists those that lag. If the response of the object API is lost, reads the manifest back
to determine the outcome.

Options
${flags.OBJECT_API_HELP}
  --expect VERSION     fail unless this is the accepted version; 0 if there must be none
  --no-wait            do not wait until the change is in force
${flags.PROCESS_HELP}
${flags.JSON_HELP}
${exitCodes.HELP}`,
    flags: {
        ...flags.json,
        ...flags.objectApi,
        ...flags.processes,
        expect: { type: "number" },
        wait: { type: "boolean", default: true },
    },
    run: async invocation => {
        const written = await writeManifest(invocation);
        if (!written.ok) {
            return output.printFailure(invocation, written.failure);
        }
        const { version, changed } = written.value;
        const accepted = `version ${version} is accepted${changed ? "" : "; the manifest is unchanged"}`;
        if (!invocation.flags.wait) {
            output.printResult(invocation, { version, changed }, [accepted]);
            return exitCodes.SUCCESS;
        }
        if (!invocation.flags.json) {
            invocation.terminal.print(accepted);
        }
        const waited = await waitUntilInForce(invocation, version);
        if (!waited.ok) {
            const detail = `version ${version}; ${waited.failure.kind}: ${waited.failure.detail}`;
            return output.printFailure(invocation, { kind: "change-not-in-force", detail }, { version, changed });
        }
        const { running, stopped, lagging } = waited.value;
        const result = { version, changed, running, stopped, lagging: lagging.map(report => report.address) };
        if (lagging.length > 0) {
            const detail = `version ${version}; ${lagging.map(processes.describeVersion).join(", ")}`;
            return output.printFailure(invocation, { kind: "change-not-in-force", detail }, result);
        }
        const lines = [`version ${version} is in force in ${running} processes`];
        if (stopped.length > 0) {
            lines.push(`not running: ${stopped.join(", ")}`);
        }
        output.printResult(invocation, result, lines);
        return exitCodes.SUCCESS;
    },
};

interface WriteResult {
    readonly version: number;
    /** False if the accepted manifest already had the same text. */
    readonly changed: boolean;
}

async function writeManifest(invocation: types.Invocation): Promise<outcomes.Outcome<WriteResult>> {
    const file = await manifestFile.read(invocation.input);
    if (!file.ok) {
        return file;
    }
    const { objectApi, expect, wait } = invocation.flags;
    if (objectApi === undefined) {
        return outcomes.fail("argument-invalid", "expected --object-api");
    }
    // Invalid addresses are reported before anything is written.
    const addresses = wait ? await processes.configuredAddresses(invocation) : outcomes.succeed([]);
    if (!addresses.ok) {
        return addresses;
    }
    return writeText(invocation.services.objectStore(objectApi), file.value.text, expect);
}

async function writeText(
    store: objectApi.ObjectStore,
    text: string,
    expect: number | undefined,
): Promise<outcomes.Outcome<WriteResult>> {
    const current = await store.get(adoption.MANIFEST_OBJECT);
    if (!current.ok) {
        return current;
    }
    const accepted = current.value?.version ?? objectApi.ABSENT;
    if (expect !== undefined && expect !== accepted) {
        return outcomes.fail("store-conflict", `expected version ${expect}; the accepted version is ${accepted}`);
    }
    if (current.value?.value === text) {
        return outcomes.succeed({ version: accepted, changed: false });
    }
    const change = { name: adoption.MANIFEST_OBJECT, value: text, expectedVersion: accepted };
    const written = await confirmedWrites.putConfirmed(store, change, WRITE_ATTEMPTS);
    return written.ok ? outcomes.succeed({ version: written.value, changed: true }) : written;
}

interface WaitResult {
    readonly running: number;
    readonly stopped: readonly string[];
    /** Processes in which the version was not in force when the wait ended. */
    readonly lagging: readonly processes.ProcessReport[];
}

async function waitUntilInForce(invocation: types.Invocation, version: number): Promise<outcomes.Outcome<WaitResult>> {
    const { clock, services, flags: { timeoutMs } } = invocation;
    const deadline = clock.now() + timeoutMs;
    const found = await processes.discover(invocation);
    if (!found.ok) {
        return found;
    }
    const reports = new Map(found.value.map(report => [report.address, report]));
    for (;;) {
        const lagging = processes.findLagging([...reports.values()], version);
        if (lagging.length === 0 || clock.now() >= deadline) {
            const stopped = [...reports.values()].filter(report => report.reachability === "stopped");
            const running = reports.size - stopped.length;
            return outcomes.succeed({ running, stopped: stopped.map(report => report.address), lagging });
        }
        await clock.sleep(POLL_INTERVAL_MS);
        for (const report of await processes.queryProcesses(services.operations, lagging.map(item => item.address))) {
            reports.set(report.address, report);
        }
    }
}
