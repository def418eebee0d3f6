/** Finds the processes of the system and asks each for its status. */
import * as outcomes from "../core/outcome.js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";
import type * as types from "./types.js";

const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
/** Processes that are asked at the same time. */
const PARALLEL_CALLS = 64;

/** `stopped`: nothing listens at the address; `silent`: the process did not answer. */
export type Answer = "answered" | "stopped" | "silent";

export interface ProcessReport {
    readonly address: string;
    readonly answer: Answer;
    /** Set when the process answered. */
    readonly status?: operations.StatusResponse;
}

/** Addresses of the seeds and the instance list. Fails with `argument-invalid` or `store-unavailable`. */
export async function knownAddresses(invocation: types.Invocation): Promise<outcomes.Outcome<readonly string[]>> {
    const { seed, instanceList } = invocation.flags;
    const malformed = seed.find(address => !ADDRESS.test(address));
    if (malformed !== undefined) {
        return outcomes.fail("argument-invalid", `--seed ${malformed}: expected IP:PORT`);
    }
    if (seed.length === 0 && instanceList === undefined) {
        return outcomes.fail("argument-invalid", "expected --seed or --instance-list");
    }
    if (instanceList === undefined) {
        return outcomes.succeed(seed);
    }
    const listed = await invocation.services.instanceList(instanceList).list();
    // The seeds still lead to the members when the list is down.
    if (!listed.ok && seed.length === 0) {
        return listed;
    }
    const addresses = listed.ok ? listed.value.map(instance => instance.address) : [];
    return outcomes.succeed([...new Set([...seed, ...addresses])]);
}

/** Asks the known processes and every member that they name. Fails as `knownAddresses` or `no-process-answered`. */
export async function discover(invocation: types.Invocation): Promise<outcomes.Outcome<readonly ProcessReport[]>> {
    const known = await knownAddresses(invocation);
    if (!known.ok) {
        return known;
    }
    const reports = new Map<string, ProcessReport>();
    let waiting = [...known.value];
    while (waiting.length > 0) {
        for (const report of await ask(invocation.services.operations, waiting)) {
            reports.set(report.address, report);
        }
        const named = [...reports.values()].flatMap(report => report.status?.members ?? [])
            .map(member => member.incarnation?.address ?? "");
        waiting = [...new Set(named)].filter(address => address !== "" && !reports.has(address));
    }
    const found = [...reports.values()].sort((left, right) => left.address < right.address ? -1 : 1);
    return found.some(report => report.answer === "answered")
        ? outcomes.succeed(found)
        : outcomes.fail("no-process-answered", found.map(report => `${report.address} ${report.answer}`).join(", "));
}

/** Asks each process for its status. */
export async function ask(
    client: types.OperationsClient,
    addresses: readonly string[],
): Promise<readonly ProcessReport[]> {
    const reports: ProcessReport[] = [];
    for (let start = 0; start < addresses.length; start += PARALLEL_CALLS) {
        const batch = addresses.slice(start, start + PARALLEL_CALLS);
        reports.push(...await Promise.all(batch.map(address => askOne(client, address))));
    }
    return reports;
}

async function askOne(client: types.OperationsClient, address: string): Promise<ProcessReport> {
    const outcome = await client.status(address);
    if (outcome.ok) {
        return { address, answer: "answered", status: outcome.value };
    }
    return { address, answer: outcome.failure.kind === "peer-unreachable" ? "stopped" : "silent" };
}

/**
 * Processes that do not have a version in force. A stopped process does not lag: it runs nothing, and reads the newest
 * version when it starts.
 */
export function lagging(reports: readonly ProcessReport[], version: number): readonly ProcessReport[] {
    return reports.filter(report => report.answer !== "stopped" && versionOf(report) < version);
}

/** Version in force; -1 when the process did not answer. */
export function versionOf(report: ProcessReport): number {
    return report.status === undefined ? -1 : Number(report.status.manifestVersion);
}

export function describe(report: ProcessReport): string {
    return report.status === undefined
        ? `${report.address} does not answer`
        : `${report.address} has version ${versionOf(report)}`;
}
