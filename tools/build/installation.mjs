/** Checks by what is there, not by its age, whether node_modules holds what a build needs of the lock file on this machine. */
import * as fs from "node:fs";
import * as path from "node:path";

/** The packages for development that a build uses; the others are for tests. */
const BUILD_PACKAGE = /^node_modules\/(esbuild|@esbuild\/[^/]+)$/;
/** Written by npm at the end of an installation; one that was interrupted lacks it. */
const INSTALLED_LIST = "node_modules/.package-lock.json";

/**
 * A kind of machine, in the words of npm.
 *
 * @typedef {{ readonly os: string, readonly cpu: string, readonly libc: string | undefined }} Machine
 */

/**
 * Entry of the lock file.
 *
 * @typedef {object} LockedPackage
 * @property {string} version
 * @property {string} [name] Name of the package if it is installed under another one.
 * @property {boolean} [link]
 * @property {boolean} [dev]
 * @property {boolean} [optional]
 * @property {readonly string[]} [os]
 * @property {readonly string[]} [cpu]
 * @property {readonly string[]} [libc]
 */

/** @returns {Machine} */
export function thisMachine() {
    const report =
        /** @type {{ readonly header: { readonly glibcVersionRuntime?: string } }} */ (process.report.getReport());
    const libc = process.platform !== "linux"
        ? undefined
        : report.header.glibcVersionRuntime === undefined
        ? "musl"
        : "glibc";
    return { os: process.platform, cpu: process.arch, libc };
}

/**
 * What is missing or of another version, as texts for a log; empty for a complete installation.
 *
 * @param {string} root
 * @param {Machine} machine
 * @returns {readonly string[]}
 */
export function findDefects(root, machine) {
    const { packages } = readJson(path.join(root, "package-lock.json")) ?? { packages: {} };
    const defects = Object.entries(packages)
        .filter(([place, locked]) => place !== "" && !locked.link && isUsed(place, locked) && isFor(locked, machine))
        .map(([place, locked]) => findDefect(root, place, locked))
        .filter(defect => defect !== undefined);
    return readJson(path.join(root, INSTALLED_LIST)) === undefined ? [`no ${INSTALLED_LIST}`, ...defects] : defects;
}

/**
 * @param {string} root
 * @param {string} place
 * @param {LockedPackage} locked
 */
function findDefect(root, place, locked) {
    const installed = readJson(path.join(root, place, "package.json"));
    if (installed === undefined) {
        return `no ${place}`;
    }
    return installed.version === locked.version
        ? undefined
        : `${place} ${installed.version} instead of ${locked.version}`;
}

/**
 * @param {string} place
 * @param {LockedPackage} locked
 */
function isUsed(place, { dev }) {
    return !dev || BUILD_PACKAGE.test(place);
}

/**
 * Whether npm installs the package on this kind of machine.
 *
 * @param {LockedPackage} locked
 * @param {Machine} machine
 */
function isFor({ os, cpu, libc }, machine) {
    return allows(os, machine.os) && allows(cpu, machine.cpu) &&
        (machine.libc === undefined || allows(libc, machine.libc));
}

/**
 * @param {readonly string[] | undefined} names Names that are allowed, or with `!` excluded.
 * @param {string} name
 */
function allows(names, name) {
    if (names === undefined || names.length === 0) {
        return true;
    }
    return names.some(each => each.startsWith("!")) ? !names.includes(`!${name}`) : names.includes(name);
}

/** @param {string} file */
function readJson(file) {
    try {
        return JSON.parse(fs.readFileSync(file, "utf8"));
    }
    catch {
        // Missing or cut off; both count as not installed.
        return undefined;
    }
}
