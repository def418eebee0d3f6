/** `ibisstep apply`: makes a manifest the accepted one and waits until it is in force everywhere. */
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

Checks the manifest in FILE and writes it to the object API, if nobody changed it in between. Then waits until every
process has it in force, and names those that lag. A lost answer of the object API is settled by reading.

Options
${flags.OBJECT_API_HELP}
  --expect VERSION     fail unless this version is the accepted one; 0 when there must be none
  --no-wait            do not wait until the change is in force
${flags.PROCESS_HELP}
${flags.JSON_HELP}
${exitCodes.DESCRIPTION}`,
    flags: {
        ...flags.json,
        ...flags.objectApi,
        ...flags.processes,
        expect: { type: "number" },
        wait: { type: "boolean", default: true },
    },
    run: async invocation => {
        const written = await write(invocation);
        if (!written.ok) {
            return output.fail(invocation, written.failure);
        }
        const { version, changed } = written.value;
        const accepted = `version ${version} is accepted${changed ? "" : "; it was before, the manifest is the same"}`;
        if (!invocation.flags.wait) {
            output.show(invocation, { version, changed }, [accepted]);
            return exitCodes.SUCCESS;
        }
        if (!invocation.flags.json) {
            invocation.terminal.print(accepted);
        }
        const rest = await waitUntilInForce(invocation, version);
        if (!rest.ok) {
            const detail = `version ${version}; ${rest.failure.kind}: ${rest.failure.detail}`;
            return output.fail(invocation, { kind: "change-not-in-force", detail }, { version, changed });
        }
        const { running, stopped, late } = rest.value;
        const result = { version, changed, running, stopped, lagging: late.map(report => report.address) };
        if (late.length > 0) {
            const detail = `version ${version}; ${late.map(processes.describe).join(", ")}`;
            return output.fail(invocation, { kind: "change-not-in-force", detail }, result);
        }
        const lines = [`version ${version} is in force in ${running} processes`];
        if (stopped.length > 0) {
            lines.push(`not running: ${stopped.join(", ")}`);
        }
        output.show(invocation, result, lines);
        return exitCodes.SUCCESS;
    },
};

interface Written {
    readonly version: number;
    /** False when the accepted manifest has the same text. */
    readonly changed: boolean;
}

async function write(invocation: types.Invocation): Promise<outcomes.Outcome<Written>> {
    const file = await manifestFile.read(invocation.input);
    if (!file.ok) {
        return file;
    }
    const { objectApi, expect, wait } = invocation.flags;
    if (objectApi === undefined) {
        return outcomes.fail("argument-invalid", "expected --object-api");
    }
    // Wrong addresses are found before the change is made.
    const addresses = wait ? await processes.knownAddresses(invocation) : outcomes.succeed([]);
    if (!addresses.ok) {
        return addresses;
    }
    return writeText(invocation.services.objectStore(objectApi), file.value.text, expect);
}

async function writeText(
    store: objectApi.ObjectStore,
    text: string,
    expect: number | undefined,
): Promise<outcomes.Outcome<Written>> {
    const current = await store.get(adoption.MANIFEST_OBJECT);
    if (!current.ok) {
        return current;
    }
    const accepted = current.value?.version ?? objectApi.ABSENT;
    if (expect !== undefined && expect !== accepted) {
        return outcomes.fail("store-conflict", `expected version ${expect}, accepted is ${accepted}`);
    }
    if (current.value?.value === text) {
        return outcomes.succeed({ version: accepted, changed: false });
    }
    const change = { name: adoption.MANIFEST_OBJECT, value: text, expectedVersion: accepted };
    const written = await confirmedWrites.putConfirmed(store, change, WRITE_ATTEMPTS);
    return written.ok ? outcomes.succeed({ version: written.value, changed: true }) : written;
}

interface Waited {
    readonly running: number;
    readonly stopped: readonly string[];
    /** Processes without the version when the wait ended. */
    readonly late: readonly processes.ProcessReport[];
}

async function waitUntilInForce(invocation: types.Invocation, version: number): Promise<outcomes.Outcome<Waited>> {
    const { clock, services, flags: { timeoutMs } } = invocation;
    const until = clock.now() + timeoutMs;
    const found = await processes.discover(invocation);
    if (!found.ok) {
        return found;
    }
    const reports = new Map(found.value.map(report => [report.address, report]));
    for (;;) {
        const late = processes.lagging([...reports.values()], version);
        if (late.length === 0 || clock.now() >= until) {
            const stopped = [...reports.values()].filter(report => report.answer === "stopped");
            const running = reports.size - stopped.length;
            return outcomes.succeed({ running, stopped: stopped.map(report => report.address), late });
        }
        await clock.sleep(POLL_INTERVAL_MS);
        for (const report of await processes.ask(services.operations, late.map(item => item.address))) {
            reports.set(report.address, report);
        }
    }
}
