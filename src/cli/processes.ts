/** Discovers the processes of the system and queries their status. */
import * as outcomes from "../core/outcome.js";
import type * as operations from "../rpc/gen/ibisstep/v1/operations_pb.js";
import type * as types from "./types.js";

const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
/** Number of processes that are queried at the same time. */
const MAXIMUM_PARALLEL_CALLS = 64;

/** `stopped`: nothing listens at the address; `silent`: the process did not answer in time, or the connection broke. */
export type Reachability = "answered" | "stopped" | "silent";

export interface ProcessReport {
    readonly address: string;
    readonly reachability: Reachability;
    /** Set when the process answered. */
    readonly status?: operations.StatusResponse;
}

/**
 * Returns the addresses from `--seed` and `--instance-list`.
 *
 * Fails with `argument-invalid` or `store-unavailable`.
 */
export async function configuredAddresses(invocation: types.Invocation): Promise<outcomes.Outcome<readonly string[]>> {
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
    // When the instance list is unavailable, the seeds suffice to discover the other processes.
    if (!listed.ok && seed.length === 0) {
        return listed;
    }
    const addresses = listed.ok ? listed.value.map(instance => instance.address) : [];
    return outcomes.succeed([...new Set([...seed, ...addresses])]);
}

/**
 * Queries the configured processes and every member that they know of.
 *
 * Fails as `configuredAddresses` does, or with `no-process-answered`.
 */
export async function discover(invocation: types.Invocation): Promise<outcomes.Outcome<readonly ProcessReport[]>> {
    const configured = await configuredAddresses(invocation);
    if (!configured.ok) {
        return configured;
    }
    const reports = new Map<string, ProcessReport>();
    let pending = [...configured.value];
    while (pending.length > 0) {
        for (const report of await queryProcesses(invocation.services.operations, pending)) {
            reports.set(report.address, report);
        }
        const memberAddresses = [...reports.values()].flatMap(report => report.status?.members ?? [])
            .map(member => member.incarnation?.address ?? "");
        pending = [...new Set(memberAddresses)].filter(address => address !== "" && !reports.has(address));
    }
    const sorted = [...reports.values()].sort((left, right) => left.address < right.address ? -1 : 1);
    return sorted.some(report => report.reachability === "answered")
        ? outcomes.succeed(sorted)
        : outcomes.fail(
            "no-process-answered",
            sorted.map(report => `${report.address} ${report.reachability}`).join(", "),
        );
}

/** Queries the status of each process. */
export async function queryProcesses(
    client: types.OperationsClient,
    addresses: readonly string[],
): Promise<readonly ProcessReport[]> {
    const reports: ProcessReport[] = [];
    for (let start = 0; start < addresses.length; start += MAXIMUM_PARALLEL_CALLS) {
        const batch = addresses.slice(start, start + MAXIMUM_PARALLEL_CALLS);
        reports.push(...await Promise.all(batch.map(address => queryProcess(client, address))));
    }
    return reports;
}

async function queryProcess(client: types.OperationsClient, address: string): Promise<ProcessReport> {
    const outcome = await client.status(address);
    if (outcome.ok) {
        return { address, reachability: "answered", status: outcome.value };
    }
    return { address, reachability: outcome.failure.kind === "peer-unreachable" ? "stopped" : "silent" };
}

/**
 * Returns the processes that run an older version of the configuration or do not answer. A stopped process does not
 * lag: it serves no requests, and reads the newest version when it starts.
 */
export function findLagging(reports: readonly ProcessReport[], version: number): readonly ProcessReport[] {
    return reports.filter(report => report.reachability !== "stopped" && versionOf(report) < version);
}

/** Version of the configuration that is in force in the process; -1 if it did not answer. */
export function versionOf(report: ProcessReport): number {
    return report.status === undefined ? -1 : Number(report.status.manifestVersion);
}

export function describeVersion(report: ProcessReport): string {
    return report.status === undefined
        ? `${report.address} does not answer`
        : `${report.address} has version ${versionOf(report)}`;
}
