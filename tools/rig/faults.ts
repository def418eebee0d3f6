/** Faults and planned work that a run is made of. Each resolves when it is over. */
import * as standIns from "../../stand-ins/platform/http-stand-in.js";
import type * as stores from "../../stand-ins/platform/store.js";
import type * as workers from "../../stand-ins/platform/worker.js";
import * as configurations from "./configurations.js";
import * as heavyFaults from "./heavy-faults.js";
import type * as randoms from "./random.js";
import type * as rigs from "./rig.js";

export type Fault = (rig: rigs.Rig, random: randoms.Random) => Promise<void>;

/** Faults that last for seconds; they excuse the machines that they reach. */
export const UNPLANNED = {
    "store-channels-silent": silenceStoreChannels,
    "store-channels-silent-some": async (rig, random) => {
        const some = random.share(rig.deployment.machines, random.between(0.2, 0.6));
        await rig.disturb("open channels to the store go silent", "machine", some, async () => {
            return `${await rig.deployment.disturbPaths("silence", some)} channels`;
        });
    },
    "store-channels-silent-kind": async (rig, random) => {
        const kind = random.pick(["config", "servers", "versions", "members"]);
        await rig.disturb(`open channels to the store for ${kind} go silent`, "machine", undefined, async () => {
            const { deployment } = rig;
            const count = await deployment.disturbPaths("silence", deployment.machines, `/-/objects/${kind}`);
            return `${count} channels`;
        });
    },
    "store-channels-silent-again": async (rig, random) => {
        const count = random.integer(2, 3);
        for (let index = 0; index < count; index++) {
            await silenceStoreChannels(rig);
            await standIns.pause(random.between(300, 3500));
        }
    },
    "store-channels-silent-while-listing": async (rig, random) => {
        await rig.disturb("the store discards its history", "core", undefined, () => {
            rig.store.compact();
            rig.publishNextWeights();
            return Promise.resolve();
        });
        await standIns.pause(random.between(0, 60));
        await silenceStoreChannels(rig);
    },
    "store-channels-silent-while-slow": async (rig, random) => {
        await rig.disturb("the store is slow", "core-away", undefined, async () => {
            rig.store.slownessMs = random.between(300, 1400);
            await standIns.pause(random.between(0, 1500));
            await silenceStoreChannels(rig);
            await standIns.pause(random.between(500, 4000));
            rig.store.slownessMs = 0;
        });
    },
    "worker-channels-silent": async (rig, random) => {
        const some = random.chance(0.5) ? rig.workers : random.share(rig.workers, random.between(0.1, 0.6));
        await silenceWorkerChannels(rig, some);
    },
    "all-channels-silent": async rig => {
        await Promise.all([silenceStoreChannels(rig), silenceWorkerChannels(rig, rig.workers)]);
    },
    "store-cut-some": async (rig, random) => {
        const some = random.share(rig.deployment.machines, random.between(0.15, 0.4));
        await cut(rig, some, random.between(1500, 9000));
    },
    "store-cut-entries": (rig, random) => cut(rig, rig.deployment.entries, random.between(1500, 6000)),
    "store-refuses-some": async (rig, random) => {
        const some = random.share(rig.deployment.entries, random.between(0.2, 0.5));
        await rig.disturb("paths to the store refuse", "machine", some, async () => {
            await rig.deployment.disturbPaths("refuse", some);
            await standIns.pause(random.between(2000, 7000));
            await rig.deployment.disturbPaths("accept", some);
        });
    },
    "store-turns-some-away": async (rig, random) => {
        const modes: readonly stores.StoreMode[] = ["unavailable", "throttled", "resetting", "unresponsive"];
        const mode = random.pick(modes);
        const some = random.share(rig.deployment.machines, random.between(0.2, 0.5));
        await rig.disturb(`the store turns machines away (${mode})`, "machine", some, async () => {
            some.forEach(({ proxyHost }) => rig.store.modesByCaller.set(proxyHost, mode));
            rig.store.wakeWatchers();
            await standIns.pause(random.between(2000, 9000));
            some.forEach(({ proxyHost }) => rig.store.modesByCaller.delete(proxyHost));
        });
    },
    "store-unavailable": (rig, random) => setStoreMode(rig, "unavailable", random.between(1000, 5000)),
    "store-unresponsive": (rig, random) => setStoreMode(rig, "unresponsive", random.between(1000, 5000)),
    "store-resetting": (rig, random) => setStoreMode(rig, "resetting", random.between(1000, 4500)),
    "store-unacknowledged": (rig, random) => setStoreMode(rig, "unacknowledged", random.between(1000, 4500)),
    "store-slow": async (rig, random) => {
        await rig.disturb("the store is slow", "core-away", undefined, async () => {
            rig.store.slownessMs = random.between(100, 900);
            await standIns.pause(random.between(2000, 5000));
            rig.store.slownessMs = 0;
        });
    },
    "store-compacted": async rig => {
        await rig.disturb("the store discards its history", "core", undefined, () => {
            rig.store.compact();
            return Promise.resolve();
        });
    },
    "store-restored": async (rig, random) => {
        const ageMs = random.between(500, 5000);
        await rig.disturb("the store comes back from an older copy", "core-away", undefined, async () => {
            rig.store.mode = "unavailable";
            rig.store.wakeWatchers();
            await standIns.pause(random.between(200, 1200));
            rig.restoreStore(ageMs);
            rig.store.mode = "healthy";
            return `${Math.round(ageMs)} ms old`;
        });
    },
    "entries-frozen": (rig, random) => {
        return rig.freeze(random.share(rig.deployment.entries, random.between(0.1, 0.4)), random.between(500, 6000));
    },
    "agents-frozen": (rig, random) => {
        return rig.freeze(random.share(rig.deployment.agents, random.between(0.1, 0.4)), random.between(500, 6000));
    },
    "all-frozen": (rig, random) => rig.freeze(rig.deployment.machines, random.between(500, 4000)),
    "entries-killed": async (rig, random) => {
        for (const entry of random.share(rig.deployment.entries, random.between(0.1, 0.55))) {
            rig.kill(entry, random.between(300, 3500));
        }
        await standIns.pause(1000);
    },
    "agents-killed": async (rig, random) => {
        for (const agent of random.share(rig.deployment.agents, random.between(0.1, 0.5))) {
            rig.kill(agent, random.between(300, 3500));
        }
        await standIns.pause(1000);
    },
    "workers-crash": async (rig, random) => {
        const crashing = random.share(rig.presentWorkers(true), 0.1);
        const simple = random.share(rig.presentWorkers(false), 0.2);
        await Promise.all(
            [...crashing, ...simple].map(worker => rig.crashWorker(worker, random.between(500, 4000), random)),
        );
    },
} satisfies Readonly<Record<string, Fault>>;

/** Work and callers that excuse nothing beyond the machines that are stopped. */
export const PLANNED = {
    "configuration-storm": async (rig, random) => {
        const count = random.integer(2, 7);
        for (let index = 0; index < count; index++) {
            const changes = Array.from(
                { length: random.integer(1, 4) },
                () => random.pick(configurations.CHANGE_NAMES),
            );
            rig.writeConfiguration(changes);
            await standIns.pause(random.chance(0.4) ? random.between(0, 80) : random.between(200, 1500));
        }
    },
    "keys-replaced": async (rig, random) => {
        rig.writeConfiguration(["key-withdrawn", "key-added"]);
        await standIns.pause(random.between(100, 1500));
        rig.writeConfiguration(["key-withdrawn", "route-added"]);
    },
    "routes-moved": async (rig, random) => {
        rig.writeConfiguration(["route-moved", "route-moved", "route-added"]);
        await standIns.pause(random.between(100, 2000));
        rig.writeConfiguration(["route-moved", "route-removed"]);
    },
    "workers-leave": async (rig, random) => {
        const manners: readonly rigs.LeavingManner[] = ["draining", "told", "told-first", "removed"];
        const leaving = [
            ...random.share(rig.presentWorkers(true), random.between(0.05, 0.25)),
            ...random.share(rig.presentWorkers(false), random.between(0.1, 0.4)),
        ];
        for (const worker of leaving) {
            void rig.leave(worker, random.pick(manners), random);
            await standIns.pause(random.between(0, 300));
        }
    },
    "entries-stopped": async (rig, random) => {
        const series = rig.nextSeries();
        const gapMs = random.between(150, 1300);
        const hasSecond = random.chance(0.4);
        for (const entry of random.share(rig.deployment.entries, random.between(0.1, 0.45))) {
            rig.terminate(entry, series, hasSecond ? random.between(100, 3000) : undefined);
            await standIns.pause(gapMs);
        }
    },
    "entries-removed": async (rig, random) => {
        const present = rig.deployment.entries.filter(entry => !entry.isRemoved);
        if (present.length < 4) {
            return;
        }
        const series = rig.nextSeries();
        for (const entry of random.share(present, 0.06)) {
            entry.isRemoved = true;
            rig.terminate(entry, series, undefined);
            await standIns.pause(200);
        }
    },
    "weights-named": rig => {
        rig.publishNextWeights();
        return Promise.resolve();
    },
    "malformed-requests": async (rig, random) => {
        const entry = random.pick(rig.deployment.entries);
        const count = random.integer(4, 40);
        rig.note(`${count} malformed requests to ${entry.name}`);
        const route = random.pick(["/look/", "/book/", "/note/", "/idle-1/"]);
        const head = `Host: ${configurations.HOST}\r\nAuthorization: Bearer ${configurations.PERMANENT_KEY}\r\n`;
        for (let index = 0; index < count; index++) {
            const id = `Request-Id: ${rig.callers.nextId()}\r\n`;
            const texts = [
                `GET ${route}a\tb HTTP/1.1\r\n${head}${id}Deadline-Ms: 1500\r\n\r\n`,
                `GET ${route}a HTTP/1.1\r\n${head}${id}X-Long: ${"y".repeat(20_000)}\r\n\r\n`,
                `POST ${route}a HTTP/1.1\r\n${head}${id}Content-Length: -5\r\n\r\n`,
                `GET ${route}a HTTP/1.1\r\n${head}${id}Deadline-Ms: 9e99\r\nToken-Count: ${"9".repeat(310)},1\r\n\r\n`,
                `GET ${route}%00%ff HTTP/1.1\r\n${head}${id}Prompt-Prefix: ,:,a:-1,b:1e400\r\n\r\n`,
                "\u0016\u0003\u0001\u0002\u0000\u0001",
            ];
            void rig.callers.sendBytes(entry, random.pick(texts));
            await standIns.pause(random.between(2, 60));
        }
    },
    "odd-records": (rig, random) => {
        writeOddRecords(rig, random);
        return Promise.resolve();
    },
} satisfies Readonly<Record<string, Fault>>;

export const FAULTS: Readonly<Record<string, Fault>> = { ...UNPLANNED, ...PLANNED, ...heavyFaults.HEAVY };

/** Writes records that another writer could leave among those of the workers; some stay, some are removed again. */
export function writeOddRecords(rig: rigs.Rig, random: randoms.Random): void {
    const fields = '"service":"desk","address":"127.0.0.9:8080","zone":"buda-a","slots":6,"state":"ready"';
    const depth = random.pick([200, 5000, 60_000]);
    const odd = {
        nested: `${"[".repeat(depth)}${"]".repeat(depth)}`,
        "nested-field": `{${fields},"models":${'{"models":'.repeat(depth)}1${"}".repeat(depth)}}`,
        "large-number": `{${fields.replace('"slots":6', '"slots":1e999')},"born":1e999,"seq":99999999999999999999}`,
        "large-port": `{${fields.replace(":8080", ":99999")},"seq":1}`,
        "no-port": `{${fields.replace(":8080", "")},"seq":1}`,
        "missing-fields": '{"service":"desk"}',
        "other-types": '{"service":7,"address":["127.0.0.9:8080"],"zone":{},"slots":"six","state":true}',
        "other-state": `{${fields.replace("ready", "sleeping")}}`,
        bytes: '"\\u0000\\ud800\\uffff not an object"',
        nothing: "null",
        "negative-slots": `{${fields.replace('"slots":6', '"slots":-3')},"born":-1}`,
        "open-quote": `{${fields},"version":"v1`,
        "open-bracket": `{${fields},"models":[{"name":"layout"}`,
        "later-start": `{${fields},"born":${Date.UTC(2099)},"seq":1}`,
        "odd-models": `{${fields},"models":[null,7,{"name":5,"version":"x"},{"name":"layout","version":1e400}]}`,
    };
    for (const [name, text] of random.share(Object.entries(odd), random.between(0.2, 0.8))) {
        const id = `i-odd-${name}`;
        rig.store.putText("servers", id, text);
        rig.note(`odd record ${id}, ${text.length} bytes`);
        if (random.chance(0.5)) {
            setTimeout(() => rig.store.remove("servers", id), random.between(500, 8000)).unref();
        }
    }
}

async function silenceStoreChannels(rig: rigs.Rig): Promise<void> {
    const { deployment } = rig;
    await rig.disturb("open channels to the store go silent", "machine", undefined, async () => {
        return `${await deployment.disturbPaths("silence", deployment.machines)} channels`;
    });
}

async function silenceWorkerChannels(rig: rigs.Rig, some: readonly workers.Worker[]): Promise<void> {
    await rig.disturb("open channels to workers go silent", "machine", undefined, () => {
        some.forEach(worker => worker.silenceConnections());
        return Promise.resolve(`${some.length} workers`);
    });
}

async function cut(
    rig: rigs.Rig,
    machines: Parameters<rigs.Rig["freeze"]>[0],
    durationMs: number,
): Promise<void> {
    await rig.disturb("machines are cut off from the store", "machine", machines, async () => {
        await rig.deployment.disturbPaths("cut", machines);
        await standIns.pause(durationMs);
        await rig.deployment.disturbPaths("heal", machines);
    });
}

async function setStoreMode(rig: rigs.Rig, mode: stores.StoreMode, durationMs: number): Promise<void> {
    await rig.disturb(`the store is ${mode}`, "core-away", undefined, async () => {
        rig.store.mode = mode;
        rig.store.wakeWatchers();
        await standIns.pause(durationMs);
        rig.store.mode = "healthy";
    });
}
