/** Digest of all that a build is made from. */
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as path from "node:path";

const SOURCES = ["platform", "src", "tools/build", "tools/bundle-platform.mjs", "package-lock.json", "tsconfig.json"];

/** @param {string} root */
export function digest(root) {
    const hash = crypto.createHash("sha256");
    for (const file of SOURCES.flatMap(source => filesBelow(root, source))) {
        hash.update(`${file}\0`).update(fs.readFileSync(path.join(root, file))).update("\0");
    }
    return hash.digest("hex");
}

/**
 * @param {string} root
 * @param {string} place
 * @returns {readonly string[]}
 */
function filesBelow(root, place) {
    if (!fs.statSync(path.join(root, place)).isDirectory()) {
        return [place];
    }
    const names = fs.readdirSync(path.join(root, place)).sort();
    return names.flatMap(name => filesBelow(root, `${place}/${name}`));
}
