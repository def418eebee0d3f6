/** Reads and compiles the manifest file that is given as an argument. */
import * as fs from "node:fs/promises";
import * as outcomes from "../core/outcome.js";
import * as compiler from "../manifest/compile.js";
import type * as manifest from "../manifest/types.js";

export interface ManifestFile {
    readonly text: string;
    readonly configuration: manifest.Configuration;
}

/** Fails with `argument-invalid`, `file-unreadable`, `manifest-syntax` or `manifest-invalid`. */
export async function read(input: readonly string[]): Promise<outcomes.Outcome<ManifestFile>> {
    const [path, ...others] = input;
    if (path === undefined || others.length > 0) {
        return outcomes.fail("argument-invalid", "expected one manifest file");
    }
    const text = await readText(path);
    if (!text.ok) {
        return text;
    }
    const compiled = compiler.compile(text.value, 0, path);
    return compiled.ok ? outcomes.succeed({ text: text.value, configuration: compiled.value }) : compiled;
}

async function readText(path: string): Promise<outcomes.Outcome<string>> {
    try {
        return outcomes.succeed(await fs.readFile(path, "utf8"));
    }
    catch (error) {
        return outcomes.fail("file-unreadable", `${path}: ${(error as NodeJS.ErrnoException).code ?? "unknown"}`);
    }
}
