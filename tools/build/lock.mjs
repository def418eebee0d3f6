/** Lets one build at a time work in a checkout. */
import * as fs from "node:fs";
import * as timers from "node:timers/promises";

const RETRY_MS = 100;
/** Time in milliseconds after which a lock is taken to be abandoned; a clean installation takes less. */
const TIMEOUT_MS = 2 * 60_000;

/**
 * Waits until no other running build holds the lock and takes it. Returns a function that releases it.
 *
 * @param {string} file
 * @returns {Promise<() => void>}
 */
export async function acquire(file) {
    const deadline = performance.now() + TIMEOUT_MS;
    while (!tryCreate(file)) {
        if (performance.now() > deadline) {
            // The number of its holder may belong to another program by now.
            fs.rmSync(file, { force: true });
        }
        removeIfAbandoned(file);
        await timers.setTimeout(RETRY_MS);
    }
    return () => fs.rmSync(file, { force: true });
}

/** @param {string} file */
function tryCreate(file) {
    try {
        fs.writeFileSync(file, String(process.pid), { flag: "wx" });
        return true;
    }
    catch (error) {
        if (error.code !== "EEXIST") {
            throw error;
        }
        return false;
    }
}

/**
 * Removes a lock whose holder has ended. It is renamed first, so that of several builds one removes it.
 *
 * @param {string} file
 */
function removeIfAbandoned(file) {
    const holder = readHolder(file);
    if (holder === undefined || holder !== process.pid && isRunning(holder)) {
        return;
    }
    const removed = `${file}.${process.pid}`;
    try {
        fs.renameSync(file, removed);
    }
    catch {
        // Another build was quicker.
        return;
    }
    fs.rmSync(removed, { force: true });
}

/** @param {string} file */
function readHolder(file) {
    try {
        // An empty file was just created.
        return Number(fs.readFileSync(file, "utf8")) || undefined;
    }
    catch {
        // Just released.
        return undefined;
    }
}

/** @param {number} pid */
function isRunning(pid) {
    try {
        process.kill(pid, 0);
        return true;
    }
    catch (error) {
        return error.code === "EPERM";
    }
}
