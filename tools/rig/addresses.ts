/** Addresses of a deployment on the loopback network: those of the machines, and of their proxies before the store. */
import type * as ports from "../support/ports.js";
import * as processSettings from "./process-settings.js";

/** Numbers of hosts, which count on through the networks of a deployment. */
const STORE_HOST = 1;
const FIRST_ENTRY_HOST = 10;
const FIRST_WORKER_HOST = 260;
const FIRST_SIMPLE_WORKER_HOST = 960;
const HOSTS_PER_NETWORK = 250;
/** Networks of a deployment; each one of machines is followed by the one of their proxies. */
const NETWORKS = 8;
const DEPLOYMENTS = 30;
const MAXIMUM_SECOND_NUMBER = 240;

export interface Addresses {
    /** First two numbers of all addresses, and the third one of the first network. */
    readonly prefix: string;
    readonly firstNetwork: number;
    readonly store: number;
    readonly worker: number;
    readonly front: number;
    readonly ready: number;
    readonly control: number;
    readonly internal: number;
}

export interface Place {
    readonly address: string;
    readonly zone: string;
}

export function addressesIn(block: ports.PortBlock): Addresses {
    const [store, worker, front, ready, control, internal] = block.allocate(7) as [
        number,
        number,
        number,
        number,
        number,
        number,
    ];
    const prefix = `127.${2 + Math.floor(Math.random() * MAXIMUM_SECOND_NUMBER)}`;
    const firstNetwork = 2 + Math.floor(Math.random() * DEPLOYMENTS) * NETWORKS;
    return { prefix, firstNetwork, store, worker, front, ready, control, internal };
}

export function storeIp(addresses: Addresses): string {
    return ipOf(addresses, STORE_HOST);
}

export function storeAddress(addresses: Addresses): string {
    return `${storeIp(addresses)}:${addresses.store}`;
}

/** Addresses of the machine and of its proxy. */
export function entryIps(addresses: Addresses, index: number): { readonly ip: string; readonly proxyHost: string; } {
    const host = FIRST_ENTRY_HOST + index;
    return { ip: ipOf(addresses, host), proxyHost: ipOf(addresses, host, 1) };
}

/** Addresses of the machine, which is that of its worker as well, and of its proxy. */
export function agentIps(addresses: Addresses, index: number): { readonly ip: string; readonly proxyHost: string; } {
    const host = FIRST_WORKER_HOST + index;
    return { ip: ipOf(addresses, host), proxyHost: ipOf(addresses, host, 1) };
}

export function workerPlace(addresses: Addresses, index: number): Place {
    return placeOf(addresses, FIRST_WORKER_HOST, index);
}

export function simpleWorkerPlace(addresses: Addresses, index: number): Place {
    return placeOf(addresses, FIRST_SIMPLE_WORKER_HOST, index);
}

function placeOf(addresses: Addresses, firstHost: number, index: number): Place {
    const zone = processSettings.ZONES[index % processSettings.ZONES.length]!;
    return { address: `${ipOf(addresses, firstHost + index)}:${addresses.worker}`, zone };
}

function ipOf({ prefix, firstNetwork }: Addresses, host: number, offset = 0): string {
    const network = firstNetwork + 2 * Math.floor(host / HOSTS_PER_NETWORK) + offset;
    return `${prefix}.${network}.${host % HOSTS_PER_NETWORK + 1}`;
}
