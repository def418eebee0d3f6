/** Plays one run: episodes of faults and planned work with calm between them, and the judgement. */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as standIns from "../../stand-ins/platform/http-stand-in.js";
import * as ports from "../support/ports.js";
import * as bounds from "./bounds.js";
import * as faults from "./faults.js";
import * as judges from "./judge.js";
import * as randoms from "./random.js";
import * as rigs from "./rig.js";
import * as starvation from "./starvation.js";

/** Time in milliseconds before the first episode and after the last one. */
const SETTLE_MS = 3000;
const OBSERVE_MS = bounds.BOUNDS.configApplyMs + 2500;
/** Most faults in an episode. */
const MAXIMUM_OVERLAP = 3;
/** Number of the sequence of random choices of the first fault; the next one has the next number. */
const FIRST_FAULT_STREAM = 100;
/** Time in milliseconds around a violation in which the load of the machine is reported with it. */
const LOAD_WINDOW_MS = 2000;

export interface RunOptions {
    readonly seed: number;
    readonly seconds: number;
    readonly entries: number;
    readonly agents: number;
    /** Names of the faults to use; all when empty. */
    readonly faults: readonly string[];
    /** Folder for the logs; one in the temporary folder when undefined. */
    readonly folder: string | undefined;
}

/** A violation with the load of the machine around it. */
export interface WeighedViolation extends judges.Violation {
    readonly rigLagMs: number;
    readonly longestWaitMs: number;
}

export interface RunResult {
    readonly violations: readonly WeighedViolation[];
    readonly callCount: number;
    readonly servedCount: number;
    readonly samples: readonly starvation.Sample[];
    /** Folder with the logs of the processes, the faults and the judged events. */
    readonly folder: string;
}

export async function run(options: RunOptions): Promise<RunResult> {
    const { seed, entries, agents } = options;
    const folder = options.folder ?? fs.mkdtempSync(path.join(os.tmpdir(), `ibisstep-rig-${seed}-`));
    fs.mkdirSync(folder, { recursive: true });
    const random = randoms.Random.stream(seed, 0);
    await using block = await ports.PortBlock.reserve();
    await using rig = new rigs.Rig({ entries, agents, folder, seed, block });
    await using meter = new starvation.StarvationMeter(() => rig.deployment.machines);
    const schedule = new Schedule(rig, random, options);
    if (random.chance(0.5) && schedule.has("odd-records")) {
        faults.writeOddRecords(rig, random);
    }
    const wallStart = Date.now() - performance.now();
    await rig.start();
    const startedAt = performance.now();
    rig.note(`started: ${rig.deployment.entries.filter(entry => entry.isInRotation).length} entries are ready`);
    await standIns.pause(SETTLE_MS);
    while (performance.now() < startedAt + options.seconds * 1000) {
        await schedule.playEpisode();
    }
    await standIns.pause(SETTLE_MS);
    rig.isOver = true;
    await rig.callers.stop();
    const endedAt = performance.now();
    const { deployment, callers, log, book, disturbances, departures, terminations } = rig;
    const violations = judges.judge({
        calls: callers.calls,
        log,
        versions: book.versions,
        disturbances,
        departures,
        terminations,
        ends: deployment.ends,
        readiness: deployment.readiness,
        machines: deployment.machines,
        startedAt,
        endedAt,
    }).map(violation => weigh(violation, meter.samples));
    writeRecords(folder, rig, violations, meter.samples, wallStart);
    const served = callers.calls.filter(call => call.status === 200 && call.isComplete);
    const result = { callCount: callers.calls.length, servedCount: served.length };
    return { violations, ...result, samples: [...meter.samples], folder };
}

class Schedule {
    private readonly unplanned: readonly string[];
    private readonly planned: readonly string[];
    private readonly seed: number;
    private count = 0;

    constructor(private readonly rig: rigs.Rig, private readonly random: randoms.Random, options: RunOptions) {
        const { seed, faults: selection } = options;
        this.seed = seed;
        const selected = (name: string) => selection.length === 0 || selection.includes(name);
        this.unplanned = Object.keys(faults.UNPLANNED).filter(selected);
        this.planned = Object.keys(faults.PLANNED).filter(selected);
    }

    has(name: string): boolean {
        return this.planned.includes(name) || this.unplanned.includes(name);
    }

    /**
     * Faults in series or overlapping, then planned work around the moment at which all machines are in touch again, and
     * time to see what came of it. Some episodes are calm, some have planned work during the faults as well.
     */
    async playEpisode(): Promise<void> {
        const { random } = this;
        const names = random.chance(0.2) ? [] : this.choose(this.unplanned, MAXIMUM_OVERLAP);
        const isOverlapping = random.chance(0.5);
        const during: Promise<void>[] = [];
        const running: Promise<void>[] = [];
        for (const name of names) {
            running.push(this.play(name));
            if (random.chance(0.6)) {
                during.push(
                    ...this.choose(this.planned, 2).map(planned => this.play(planned, random.between(0, 2500))),
                );
            }
            await (isOverlapping ? standIns.pause(random.between(0, 2500)) : running.at(-1));
        }
        await Promise.all(running);
        if (names.length > 0) {
            await standIns.pause(bounds.BOUNDS.contactMs + random.between(-1500, 1200));
        }
        await Promise.all(this.choose(this.planned, 3).map(name => this.play(name, random.between(0, 800))));
        await Promise.all(during);
        await standIns.pause(OBSERVE_MS + random.between(0, 1500));
    }

    private choose(names: readonly string[], most: number): readonly string[] {
        const { random } = this;
        return names.length === 0 ? [] : random.share(names, random.integer(1, most) / names.length);
    }

    private async play(name: string, delayMs = 0): Promise<void> {
        const random = randoms.Random.stream(this.seed, FIRST_FAULT_STREAM + this.count++);
        await standIns.pause(delayMs);
        this.rig.note(`fault ${name}`);
        await faults.FAULTS[name]!(this.rig, random);
    }
}

function weigh(violation: judges.Violation, samples: readonly starvation.Sample[]): WeighedViolation {
    const around = samples.filter(({ at }) => Math.abs(at - violation.at) <= LOAD_WINDOW_MS);
    const largest = (field: "rigLagMs" | "longestWaitMs") => {
        return Math.round(Math.max(0, ...around.map(sample => sample[field])));
    };
    return { ...violation, rigLagMs: largest("rigLagMs"), longestWaitMs: largest("longestWaitMs") };
}

/** Writes what the rig did and saw; times are those of the processes' logs. */
function writeRecords(
    folder: string,
    rig: rigs.Rig,
    violations: readonly WeighedViolation[],
    samples: readonly starvation.Sample[],
    wallStart: number,
): void {
    const timeOf = (at: number) => new Date(wallStart + at).toISOString();
    const ends = rig.deployment.ends.map(({ at, machine, status, reason, life }) => {
        return { at, text: `process ${life} of ${machine} ended with ${status}, ${reason ?? "by itself"}` };
    });
    const lines = [
        ...rig.notes,
        ...ends,
        ...violations.map(({ rule, at, machine, text, rigLagMs, longestWaitMs }) => {
            const load = `rig ${rigLagMs} ms late, a process waited ${longestWaitMs} ms in a second`;
            return { at, text: `VIOLATION ${rule} ${machine}: ${text} [${load}]` };
        }),
    ];
    const timeline = lines.sort((left, right) => left.at - right.at).map(({ at, text }) => `${timeOf(at)} ${text}\n`);
    fs.writeFileSync(path.join(folder, "timeline.txt"), timeline.join(""));
    const writeLines = (name: string, items: readonly object[]) => {
        fs.writeFileSync(path.join(folder, name), items.map(item => `${JSON.stringify(item)}\n`).join(""));
    };
    const runs = new Map<string, string[]>();
    for (const { requestId, worker, arrivedAt } of rig.log.runs) {
        runs.set(requestId, [...runs.get(requestId) ?? [], `${worker} at ${timeOf(arrivedAt)}`]);
    }
    writeLines(
        "calls.jsonl",
        rig.callers.calls.map(call => {
            return {
                time: timeOf(call.sentAt),
                ...call,
                tookMs: Math.round((call.endedAt ?? Number.NaN) - call.sentAt),
                runs: runs.get(call.id),
            };
        }),
    );
    writeLines(
        "versions.jsonl",
        rig.book.versions.map(({ version, routes, keys, sentAt, acknowledgedAt }) => {
            const changing = [...routes.values()].filter(({ path: prefix }) => /^\/(added|move)/.test(prefix));
            return {
                version,
                sent: timeOf(sentAt),
                acknowledged: acknowledgedAt === undefined ? undefined : timeOf(acknowledgedAt),
                routes: changing.map(({ path: prefix, service }) => `${prefix} ${service}`),
                keys: [...keys],
            };
        }),
    );
    writeLines("load.jsonl", samples.map(sample => ({ time: timeOf(sample.at), ...sample })));
}
