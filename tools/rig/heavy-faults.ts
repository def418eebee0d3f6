/** Heavy loads, floods and series of signals that a run is made of. They excuse nothing. */
import * as standIns from "../../stand-ins/platform/http-stand-in.js";
import * as workers from "../../stand-ins/platform/worker.js";
import * as configurations from "./configurations.js";
import type * as faults from "./faults.js";
import type * as heavyWork from "./heavy-work.js";
import type * as randoms from "./random.js";
import type * as rigs from "./rig.js";
import * as signals from "./signals.js";

/** Largest body of a request that gets a malformed answer. */
const MALFORMED_UPLOAD_BYTES = 10_000;
const MEGABYTE = 1024 * 1024;
/** Largest body and head that the configuration allows. */
const MAXIMUM_BODY_BYTES = 4 * MEGABYTE;
const MAXIMUM_HEAD_BYTES = 15_000;
/** Largest object of the store, and bytes around its spec. */
const MAXIMUM_RECORD_BYTES = MEGABYTE - 1000;
const BULK_ROUTES = 3000;
/** Time in milliseconds after the start of a process within which it gets signals. */
const START_MS = 200;
const POLL_MS = 2;

/** Fields of the settings that the pages do not name, as new ones may come. */
const NEW_FIELDS = [
    "",
    'note = "new"',
    "sequence = 9007199254740993",
    "share = 1e-7",
    "places = [[1, 2], []]",
] as const;
/** Keys of heavy callers: of a customer, of nobody, and none. */
const KEYS = [configurations.HEAVY_KEY, "key-that-nobody-has", undefined] as const;

export const HEAVY = {
    "heavy-uploads": async (rig, random) => {
        const entries = someEntries(rig, random);
        const bursts = random.integer(1, 3);
        for (let burst = 0; burst < bursts; burst++) {
            await rig.heavy.play(entries, {
                ...bodies(random),
                name: "uploads",
                kind: "uploads",
                count: random.integer(10, 120),
                durationMs: random.between(3000, 6000),
            });
            await standIns.pause(random.between(0, 800));
        }
    },
    "heavy-uploads-fragmented": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            name: "uploads in tiny chunks",
            kind: "fragmented-uploads",
            path: random.pick(["/book/", "/look/", "/never/"]),
            key: random.pick(KEYS),
            count: random.integer(1, 12),
            bytes: random.integer(1000, 110_000),
            durationMs: random.between(3000, 6000),
        }),
    "heavy-answers-troubled": async (rig, random) => {
        const rounds = random.integer(1, 4);
        for (let round = 0; round < rounds; round++) {
            const trouble = random.pick(workers.TROUBLES);
            await rig.heavy.play(someEntries(rig, random), {
                name: `answers of workers in trouble, ${trouble}`,
                kind: "troubled-answers",
                path: configurations.troublePath(random.pick(["/book/", "/look/", "/review/", "/note/"]), trouble),
                key: configurations.HEAVY_KEY,
                count: random.integer(1, 10),
                bytes: random.integer(100, MAXIMUM_BODY_BYTES),
                durationMs: random.between(2000, 5000),
            });
            await standIns.pause(random.between(0, 500));
        }
    },
    "heavy-answers-malformed": async (rig, random) => {
        for (const malformation of random.share(workers.MALFORMATIONS, 1)) {
            await rig.heavy.play(someEntries(rig, random), {
                name: `malformed answers of workers, ${malformation}`,
                kind: "troubled-answers",
                path: configurations.troublePath(random.pick(["/book/", "/look/", "/review/", "/note/"]), malformation),
                key: configurations.HEAVY_KEY,
                count: random.integer(1, 10),
                bytes: random.integer(100, MALFORMED_UPLOAD_BYTES),
                durationMs: random.between(300, 1000),
            });
        }
    },
    "heavy-uploads-stopped": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            ...bodies(random),
            name: "uploads that stop before their end",
            kind: "stopped-uploads",
            count: random.integer(20, 150),
            durationMs: random.between(3000, 8000),
        }),
    "heavy-heads": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            name: "heads without end",
            kind: "open-heads",
            count: random.integer(100, 1500),
            bytes: random.integer(200, MAXIMUM_HEAD_BYTES),
            durationMs: random.between(2000, 8000),
        }),
    "heavy-answers-unread": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            name: "answers that nobody reads",
            kind: "unread-answers",
            path: configurations.largeAnswerPath("/look/", random.integer(1, 8) * MEGABYTE, random.chance(0.5)),
            key: configurations.HEAVY_KEY,
            count: random.integer(10, 100),
            durationMs: random.between(3000, 8000),
        }),
    "heavy-streams-slow": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            name: "streams that are read slowly",
            kind: "slow-streams",
            path: random.pick(["/review/", "/note/"]),
            key: configurations.HEAVY_KEY,
            count: random.integer(20, 120),
            bytes: random.integer(50, 400),
            durationMs: random.between(3000, 7000),
        }),
    "heavy-idle": (rig, random) =>
        rig.heavy.play(random.share(rig.deployment.entries, 0.1), {
            name: "idle connections",
            kind: "idle-connections",
            count: random.integer(200, 3000),
            durationMs: random.between(2000, 8000),
        }),
    "heavy-refusals-repeated": (rig, random) =>
        rig.heavy.play(someEntries(rig, random), {
            ...bodies(random),
            key: configurations.HEAVY_KEY,
            name: "503s repeated at once",
            kind: "repeats",
            count: random.integer(10, 60),
            durationMs: random.between(2000, 6000),
        }),
    "internal-floods": async (rig, random) => {
        const machines = random.share(rig.deployment.machines, random.between(0.1, 0.4));
        const agentPorts: readonly heavyWork.Port[] = ["internal", "metrics"];
        const hasAgent = machines.some(({ role }) => role === "agent");
        const port = random.pick<heavyWork.Port>(hasAgent ? agentPorts : [...agentPorts, "ready"]);
        await Promise.all([
            rig.heavy.play(machines, {
                name: "heads without end between processes",
                kind: "open-heads",
                port,
                count: random.integer(50, 600),
                bytes: random.integer(200, MAXIMUM_HEAD_BYTES),
                durationMs: random.between(2000, 8000),
            }),
            rig.heavy.play(machines, {
                name: "datagrams of junk",
                kind: "datagrams",
                port: "internal",
                count: random.integer(50, 400),
                bytes: random.pick([100, 1400, 30_000]),
                durationMs: random.between(2000, 6000),
            }),
        ]);
    },
    "large-records": async (rig, random) => {
        const work = rig.heavy.begin("large records of the store", rig.deployment.machines, false);
        const count = random.integer(2, 9);
        const bytes = random.integer(200_000, MAXIMUM_RECORD_BYTES);
        rig.note(`${count} records of ${bytes} bytes`);
        const names = Array.from({ length: count }, (_, index) => `i-large-${index}`);
        const rounds = random.integer(1, 3);
        for (let round = 0; round < rounds; round++) {
            names.forEach(name => rig.store.putText("servers", name, largeRecord(random, bytes)));
            if (random.chance(0.4)) {
                rig.store.compact();
            }
            await standIns.pause(random.between(50, 2000));
        }
        names.forEach(name => rig.store.remove("servers", name));
        work.until = performance.now();
    },
    "large-configuration": async (rig, random) => {
        const work = rig.heavy.begin("large configuration", rig.deployment.machines, false);
        const count = random.integer(500, BULK_ROUTES);
        rig.note(`${count} routes more`);
        rig.book.bulkRouteCount = count;
        rig.writeConfiguration(["route-added"]);
        await standIns.pause(random.between(500, 4000));
        rig.book.bulkRouteCount = 0;
        rig.writeConfiguration(["route-added"]);
        work.until = performance.now();
    },
    "reloads": async (rig, random) => {
        const machines = random.share(rig.deployment.machines, random.between(0.2, 1));
        const count = random.integer(2, 12);
        rig.note(`${count} times new settings, to ${machines.length} machines`);
        for (let index = 0; index < count; index++) {
            const isTold = random.chance(0.7);
            await Promise.all(machines.map(async machine => {
                await rig.deployment.rewriteSettings(machine, random.pick(NEW_FIELDS));
                const pid = machine.child?.pid;
                if (isTold && pid !== undefined && signals.takesReload(pid)) {
                    machine.child?.kill("SIGHUP");
                }
            }));
            await standIns.pause(random.between(0, 500));
        }
    },
    "starts-stopped": async (rig, random) => {
        const [entry] = random.share(rig.deployment.entries, 0.01);
        const rounds = random.integer(1, 3);
        rig.kill(entry!, random.between(0, 500));
        for (let round = 0; round < rounds; round++) {
            const life = entry!.life;
            while (entry!.life === life && !rig.isOver) {
                await standIns.pause(POLL_MS);
            }
            await standIns.pause(random.between(0, START_MS));
            rig.terminate(entry!, rig.nextSeries(), random.chance(0.5) ? random.between(1, 50) : undefined);
        }
    },
    /** Ends processes while Node.js itself starts, before the program can take the signal. */
    "reloads-at-start": async (rig, random) => {
        const [machine] = random.share(rig.deployment.machines, 0.01);
        rig.kill(machine!, random.between(0, 500));
        const life = machine!.life;
        while (machine!.life === life && !rig.isOver) {
            await standIns.pause(POLL_MS);
        }
        const count = random.integer(1, 4);
        for (let index = 0; index < count; index++) {
            await standIns.pause(random.between(0, START_MS / count));
            rig.note(`new settings to ${machine!.name}, ${Math.round(performance.now() - machine!.startedAt)} ms old`);
            await rig.deployment.rewriteSettings(machine!, random.pick(NEW_FIELDS));
            machine!.child?.kill("SIGHUP");
        }
    },
} satisfies Readonly<Record<string, faults.Fault>>;

function someEntries(rig: rigs.Rig, random: randoms.Random): rigs.Rig["deployment"]["entries"] {
    return random.share(rig.deployment.entries, random.between(0.05, 0.5));
}

function bodies(random: randoms.Random): Pick<heavyWork.LoadOptions, "bytes" | "isChunked" | "key" | "path"> {
    return {
        bytes: random.chance(0.5) ? MAXIMUM_BODY_BYTES : random.integer(100_000, MAXIMUM_BODY_BYTES),
        isChunked: random.chance(0.4),
        key: random.pick(KEYS),
        path: random.pick(["/book/", "/look/", "/never/"]),
    };
}

/** A record that names no worker to use, with its bytes in one text, in many fields, or in a deep list. */
function largeRecord(random: randoms.Random, bytes: number): string {
    const note = random.integer(0, 1_000_000);
    const fillers = [
        () => JSON.stringify("y".repeat(bytes)),
        () => `[${"7,".repeat(bytes / 2)}7]`,
        () => `{${Array.from({ length: bytes / 14 }, (_, index) => `"f${index + 100_000}":[]`).join(",")}}`,
    ];
    return `{"service":"desk","state":"sleeping","note":${note},"more":${random.pick(fillers)()}}`;
}
