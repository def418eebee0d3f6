/**
 * Builds the platform program below target/. It needs Node.js and npm only: it installs the packages unless all that the
 * lock file asks for on this machine are there, and installs them once more from nothing if the bundle still fails. The
 * exit status is 0 only if target/ holds this build.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as url from "node:url";
import * as installation from "./build/installation.mjs";
import * as lock from "./build/lock.mjs";
import * as publication from "./build/publication.mjs";
import * as sources from "./build/sources.mjs";

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "..");
const TARGET = path.join(ROOT, "target");
/** Tells from which sources the files beside it come. */
const DIGEST_FILE = path.join(TARGET, ".digest");
/** Files of a build, and those that were being written. */
const PRODUCT = /\.(js|mjs|cjs|partial)$/;
const MAXIMUM_LISTED_DEFECTS = 5;
/** Settings of the user or the machine must not leave out the build tools or refuse the version of Node.js. */
const INSTALL = ["ci", "--no-audit", "--no-fund", "--include=dev", "--include=optional", "--engine-strict=false"];

/** @param {string} line */
function report(line) {
    process.stderr.write(`build: ${line}\n`);
}

/**
 * Runs a program to its end. Its output goes to standard error.
 *
 * @param {string} program
 * @param {readonly string[]} parameters
 */
function succeeds(program, parameters) {
    const { status, signal, error } = childProcess.spawnSync(program, parameters, {
        cwd: ROOT,
        stdio: ["ignore", 2, 2],
    });
    if (status !== 0) {
        report(`${path.basename(program)} ${parameters[0]} failed: ${error?.message ?? signal ?? `status ${status}`}`);
    }
    return status === 0;
}

function bundle() {
    return succeeds(process.execPath, ["tools/bundle-platform.mjs"]);
}

/** Installs from nothing, without the scripts of packages, none of which the bundle needs. */
function installFromNothing() {
    fs.rmSync(path.join(ROOT, "node_modules"), { recursive: true, force: true });
    return succeeds("npm", [...INSTALL, "--ignore-scripts"]);
}

function build() {
    const defects = installation.findDefects(ROOT, installation.thisMachine());
    if (defects.length > 0) {
        const listed = defects.slice(0, MAXIMUM_LISTED_DEFECTS).join(", ");
        report(
            `node_modules is not complete, installing: ${listed}${
                defects.length > MAXIMUM_LISTED_DEFECTS ? ", ..." : ""
            }`,
        );
    }
    const isInstalled = defects.length === 0 || succeeds("npm", INSTALL);
    if (isInstalled && bundle()) {
        return true;
    }
    report("trying again with a clean installation");
    return installFromNothing() && bundle();
}

/** Removes what another commit has built, so that it is not taken for this build if this one fails. */
function removeOtherBuild(digest) {
    const isSame = fs.existsSync(DIGEST_FILE) && fs.readFileSync(DIGEST_FILE, "utf8") === digest;
    if (isSame) {
        return;
    }
    for (const name of fs.readdirSync(TARGET).filter(each => PRODUCT.test(each))) {
        fs.rmSync(path.join(TARGET, name), { force: true });
    }
}

fs.mkdirSync(TARGET, { recursive: true });
const release = await lock.acquire(path.join(TARGET, ".build-lock"));
try {
    const digest = sources.digest(ROOT);
    removeOtherBuild(digest);
    if (build()) {
        publication.replaceFile(DIGEST_FILE, digest);
    }
    else {
        report("failed: target/ holds no program, and no process can start. See the lines above.");
        process.exitCode = 1;
    }
}
finally {
    release();
}
