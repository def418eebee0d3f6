/** Places the files of a build so that a process that starts meanwhile sees either the old ones or the new ones. */
import * as fs from "node:fs";
import * as path from "node:path";

/**
 * Writes the files in the given order, each beside its place first. The one that is started comes last; the names of those
 * that it loads depend on their contents, so that files of another build are never replaced by different ones.
 *
 * @param {string} folder
 * @param {readonly { readonly name: string, readonly contents: Uint8Array }[]} files
 */
export function publish(folder, files) {
    fs.mkdirSync(folder, { recursive: true });
    for (const { name, contents } of files) {
        replaceFile(path.join(folder, name), contents);
    }
}

/**
 * @param {string} file
 * @param {Uint8Array | string} contents
 */
export function replaceFile(file, contents) {
    const temporary = `${file}.${process.pid}.partial`;
    fs.writeFileSync(temporary, contents);
    fs.renameSync(temporary, file);
}
