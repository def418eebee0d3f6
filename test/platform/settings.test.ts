/** Guards against settings that keep a process from starting although all that it needs is there. */
import * as fastCheck from "fast-check";
import * as assert from "node:assert/strict";
import * as testing from "node:test";
import * as settings from "../../platform/settings.js";
import * as tomlTexts from "../../platform/toml-text.js";

const SEED = 37;
const RUNS = 300;
const DAY_MS = 24 * 60 * 60 * 1000;
const FILE = `nodeName = "edge-noe-1-1"
ip = "10.1.0.24"
zone = "noe-1"
internalPorts = [7600,7615]
seeds = ["10.1.0.24:8608","10.2.0.3:8608"]
app = "10.1.0.24:9000"

[zones]
noe-1 = "niederoest"

[listen]
front = "10.1.0.24:8606"
ready = "10.1.0.24:8605"

[limits]
memoryMb = 200
maxFds = 4200

[bounds]
graceS = 6
configApplyMs = 1500
drainMs = 1000
versionMs = 7000
retryBudgetRatio = 0.3
retrySlack = 52
quotaSlack = 110000

[platform]
address = "10.200.1.7:8601"
writesPerS = 400
`;
const LINES = FILE.trimEnd().split("\n");
const REQUIRED = ["nodeName", "ip", "zone", "internalPorts", "app", "front", "ready", "address"];

/** Values as TOML texts, among them those that the library or a number cannot hold. */
const special = fastCheck.constantFrom(
    "nan",
    "-inf",
    "inf",
    "1e400",
    "-0.0",
    "0xffffffffffffffff",
    "0o777777777777777777777",
    "9223372036854775807",
    "-9223372036854775808",
    "99999999999999999999999999999999",
    "2016-12-31T23:59:60Z",
    "1979-05-27T07:32:00.999999999+01:00",
    "1979-05-27",
    "07:32:00",
    "true",
    `${"[".repeat(2000)}${"]".repeat(2000)}`,
    `${"{ a = ".repeat(1500)}1${" }".repeat(1500)}`,
    '"""\n[listen]\nfront = 1\n"""',
    "'''\n[platform]\n'''",
    "[1, 'a', nan, { b = [] }]",
    '{ __proto__ = 1, constructor = { prototype = 2 }, "" = 3 }',
);
const value = fastCheck.oneof(
    special,
    fastCheck.bigInt({ min: -(2n ** 63n), max: 2n ** 63n - 1n }).map(String),
    fastCheck.double({ noDefaultInfinity: true, noNaN: true }).map(number => number.toExponential()),
    fastCheck.string().map(text => JSON.stringify(text).replaceAll("\u007f", "\\u007f")),
);
const key = fastCheck.oneof(
    fastCheck.constantFrom("__proto__", "constructor", "toString", '""', '"a b"', "'x.y'", "9", "-", '"\u00e9"'),
    fastCheck.stringMatching(/^[a-z]{1,8}$/).map(name => `new-${name}`),
);
const insertion = fastCheck.tuple(fastCheck.nat(LINES.length - 1), key, value);

function read(text: string, role: "entry" | "agent"): settings.PlatformSettings {
    const outcome = settings.decode(tomlTexts.parse(text).fields, role);
    assert.ok(outcome.ok, JSON.stringify(outcome));
    return outcome.value;
}

function withRegions(
    read: settings.PlatformSettings,
    regions: ReadonlyMap<string, string>,
): settings.PlatformSettings {
    return { ...read, process: { ...read.process, regions } };
}

/** The file with the insertions, each before the line of its number. */
function insert(insertions: readonly (readonly [line: number, key: string, value: string])[]): string {
    const lines = LINES.map((line, index) => {
        const added = insertions.filter(([at]) => at === index).map(([, name, text]) => `${name} = ${text}`);
        return [...added, line].join("\n");
    });
    return `${lines.join("\n")}\n`;
}

for (const role of ["entry", "agent"] as const) {
    testing.test(`guards against unknown fields that make the settings of an ${role} unusable or change them`, () => {
        const expected = read(FILE, role);
        const insertions = fastCheck.uniqueArray(insertion, { maxLength: 5, selector: ([, name]) => name });
        fastCheck.assert(
            fastCheck.property(insertions, chosen => {
                const actual = read(insert(chosen), role);
                // A field that is added to the table of data centres is one of them; all others stay as they are.
                expected.process.regions.forEach((region, dataCentre) => {
                    assert.equal(actual.process.regions.get(dataCentre), region);
                });
                assert.deepEqual(withRegions(actual, expected.process.regions), expected);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });

    testing.test(`guards against a value that an ${role} can do without and that keeps it from starting`, () => {
        const optional = LINES.map(line => line.split(" = ")[0]!)
            .filter(name => name !== "" && !name.startsWith("[") && !REQUIRED.includes(name));
        fastCheck.assert(
            fastCheck.property(fastCheck.constantFrom(...optional), value, (name, text) => {
                const line = LINES.find(each => each.startsWith(`${name} = `))!;
                const { process } = read(FILE.replace(line, () => `${name} = ${text}`), role);
                const durations = [process.shutdownGraceMs, process.outdatedWeightsLimitMs, process.changeLimitMs];
                assert.ok(durations.every(duration => duration >= 0 && duration <= DAY_MS));
                assert.ok(process.changeLimitMs > 0);
                assert.ok(process.memoryLimitBytes === undefined || process.memoryLimitBytes > 0);
                assert.ok(
                    [process.retryBudgetRatio, process.retrySlack, process.quotaSlackTokens].every(Number.isFinite),
                );
                assert.ok(process.seeds.every(seed => /^[0-9.]+:7600$/.test(seed)));
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
}

testing.test("guards against a process that runs on settings of which a needed value is of another form", () => {
    const odd = ['ip = "localhost"', "internalPorts = [70000]", "internalPorts = [0.5]", 'front = "10.1.0.24:99999"'];
    for (const replaced of [...odd, "nodeName = 3", 'address = "store:8601"', "ready = nan"]) {
        const line = LINES.find(each => each.startsWith(replaced.split("=")[0]!))!;
        const outcome = settings.decode(tomlTexts.parse(FILE.replace(line, replaced)).fields, "entry");
        assert.equal(outcome.ok, false, replaced);
    }
});

testing.test("guards against settings that are cut off before all that is needed and used all the same", () => {
    const end = FILE.indexOf("writesPerS") - 1;
    for (let length = 0; length < end; length++) {
        const text = FILE.slice(0, length);
        let isUsed = false;
        try {
            isUsed = settings.decode(tomlTexts.parse(text).fields, "entry").ok;
        }
        catch {
            // Read again later.
        }
        assert.equal(isUsed, false, text);
    }
});

testing.test("regions, the bounds of cold servers and the first start are decoded, with the strictest values by default", () => {
    const { process } = read(`bootstrap = true\n${FILE.replace("[zones]", "[zones]\nnoe-2 = 7")}`, "entry");
    assert.deepEqual([process.isFirstStart, [...process.regions]], [true, [["noe-1", "niederoest"]]]);
    assert.deepEqual(process.coldBounds, { overshootFactor: 1, slackRequests: 0 });
    assert.equal(read(FILE, "entry").process.isFirstStart, false);
    const bounds = FILE.replace("[bounds]", "[bounds]\ncoldOvershoot = 1.5\ncoldSlack = 5");
    assert.deepEqual(read(bounds, "entry").process.coldBounds, { overshootFactor: 1.5, slackRequests: 5 });
});

testing.test("parts of the product are on only where the settings list their contract", () => {
    const capabilities = (contracts: string) => read(`contracts = ${contracts}\n${FILE}`, "entry").process.capabilities;
    const none = { placementConstraints: false, contendedServers: false };
    assert.deepEqual(read(FILE, "entry").process.capabilities, none);
    assert.deepEqual(capabilities('["base","engine","rollout"]'), none);
    assert.deepEqual(capabilities('["base","rollout"]'), none);
    assert.deepEqual(capabilities('["base","engine"]'), { ...none, contendedServers: true });
    assert.deepEqual(capabilities('["base","places"]'), { ...none, placementConstraints: true });
    assert.deepEqual(capabilities('["pressure","base","rollout"]'), { ...none, contendedServers: true });
    assert.deepEqual(capabilities("7"), none);
});
