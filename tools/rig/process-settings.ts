/** The settings file of a process. */
import type * as addressing from "./addresses.js";
import * as bounds from "./bounds.js";
import type * as deployments from "./deployment.js";

export const ZONES = ["buda-a", "buda-b", "pest-a", "pest-b", "obuda-a"] as const;
const REGION = "hu-central";

export interface SettingsOptions {
    readonly machine: deployments.Machine;
    readonly addresses: addressing.Addresses;
    /** IP addresses of the machines that a process asks first. */
    readonly seeds: readonly string[];
    /** Lines of fields that the process does not know; empty for none. */
    readonly newFields: string;
}

export function encode({ machine, addresses, seeds, newFields }: SettingsOptions): string {
    const { store, worker, front, ready, control, internal } = addresses;
    const { name, role, ip, zone, proxyHost, limits: { memoryMb, maxFds } } = machine;
    const isEntry = role === "entry";
    return [
        `nodeName = "${name}"`,
        `role = "${role}"`,
        `machineClass = "${isEntry ? "edge" : "side"}"`,
        `serves = [${isEntry ? '"edge","control_plane"' : '"side"'}]`,
        `ip = "${ip}"`,
        `zone = "${zone}"`,
        `region = "${REGION}"`,
        `internalPorts = [${internal},${internal + 1}]`,
        `seeds = [${seeds.map(ip => `"${ip}:${control}"`).join(",")}]`,
        "bootstrap = true",
        "faultCounted = false",
        'discovery = "platform"',
        'entry = "vip"',
        `heartbeatMs = ${bounds.HEARTBEAT_MS}`,
        ...isEntry ? [] : [`app = "${ip}:${worker}"`],
        newFields,
        "[zones]",
        ...ZONES.map(zoneName => `${zoneName} = "${REGION}"`),
        "[listen]",
        ...isEntry
            ? [`front = "${ip}:${front}"`, `ready = "${ip}:${ready}"`, `control = "${ip}:${control}"`]
            : [],
        "[limits]",
        "cpuShare = 0.513",
        "cores = 1",
        `memoryMb = ${memoryMb}`,
        `maxFds = ${maxFds}`,
        "linkMbps = 1000.0",
        "diskMb = 0",
        "[bounds]",
        ...Object.entries(bounds.BOUNDS).map(([key, value]) => `${key} = ${String(value)}`),
        "[platform]",
        `address = "${proxyHost}:${store}"`,
        'form = "objects"',
        "writesPerS = 400",
        "readsPerS = 2000",
        "historyS = 20",
        "valueBytes = 1048576",
        "ttlMinMs = 1000",
        "",
    ].join("\n");
}
